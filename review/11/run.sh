#!/bin/bash
# Faulty backends break some answers off and send some a second time, late.
# Exits with 1 if a client gets a success with bytes of another answer, 0 if none does, 2 if the case
# could not run. TROUBLE=0 leaves the faulty answers out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/apps/boragepier/boragepier ] || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 run.py
