#!/usr/bin/env bash
# The stand-ins are Python and need no build; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "standins"); import standins'
