#!/usr/bin/env bash
# Installs packages, builds, checks format and lint, and runs all tests.
#   scripts/test.sh                                 everything
#   scripts/test.sh --sanitize=address,undefined    tests only, built with sanitizers
#   scripts/test.sh --sanitize=thread
# The last line is "N passed, N failed". Cases listed in KNOWN-RED.txt are printed and not counted.
set -uo pipefail
cd "$(dirname "$0")/.."
sanitize=""
for argument in "$@"; do
  case $argument in
    --sanitize=*) sanitize=${argument#--sanitize=} ;;
    *) echo "usage: scripts/test.sh [--sanitize=LIST]" >&2; exit 2 ;;
  esac
done
scripts/install-packages.sh || exit 1
export BUILD_DIR=build${sanitize:+-${sanitize//,/-}}
scripts/build.sh "-DBORAGEPIER_SANITIZE=$sanitize" || { echo "0 passed, 1 failed"; exit 1; }

passed=0
failed=0
step() {
  echo "== $1"
  shift
  if "$@"; then passed=$((passed + 1)); else failed=$((failed + 1)); echo "FAILED: $*"; fi
}
if [[ -z $sanitize ]]; then
  step "format and lint" scripts/lint.sh
  [[ -x scripts/model.sh ]] && step "model" scripts/model.sh
fi

known_red=()
if [[ -e KNOWN-RED.txt ]]; then
  mapfile -t known_red < <(sed -n 's/^test: *\([A-Za-z0-9_.-]*\).*/\1/p' KNOWN-RED.txt)
fi
exclude=()
if ((${#known_red[@]})); then
  echo "== known red, not counted:"
  cat KNOWN-RED.txt
  exclude=(-E "^($(IFS='|'; echo "${known_red[*]}"))\$")
fi
echo "== tests"
log=$BUILD_DIR/ctest.log
ctest --test-dir "$BUILD_DIR" -j "$(nproc)" --output-on-failure "${exclude[@]}" | tee "$log"
ctest_failed=$(grep -cE '\*\*\*(Failed|Timeout|Exception|Not Run)' "$log")
ctest_passed=$(grep -cE ' Passed +[0-9.]+ sec' "$log")
passed=$((passed + ctest_passed))
failed=$((failed + ctest_failed))
((ctest_passed + ctest_failed > 0)) || failed=$((failed + 1))
echo "$passed passed, $failed failed"
((failed == 0))
