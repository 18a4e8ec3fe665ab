#!/bin/bash
# A drill: the store is away for a second and comes back from a copy that is four seconds old.
# Exits with 1 if an instance goes back to the older configuration, 0 if none does, 2 if the case
# could not run. TROUBLE=0 leaves the drill out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/apps/boragepier/boragepier ] || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 run.py
