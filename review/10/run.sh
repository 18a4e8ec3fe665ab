#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption.
exec timeout -k 5 110 python3 "$(dirname "${BASH_SOURCE[0]}")/case.py"
