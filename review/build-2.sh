#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, beside the program itself: the stand-ins
# are Python sources, which are only compiled here to find errors early.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - <<'PYTHON'
import glob
for path in sorted(glob.glob("standins-2/*.py") + glob.glob("[0-9]*/case.py")):
    compile(open(path, encoding="utf-8").read(), path, "exec")
PYTHON
