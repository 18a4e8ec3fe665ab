#!/bin/bash
# Builds the stand-ins of the cases of this review: a check that Python can load them.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "standins-3"); import standins'
echo "stand-ins are usable"
