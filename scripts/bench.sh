#!/usr/bin/env bash
# Builds and runs the virtual-time bench. Arguments are those of boragepier_bench, for example:
#   scripts/bench.sh policies --load 0.85 --csv out/policies.csv
# Without arguments all suites run; tables and CSV files go to out/bench.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
program=${BUILD_DIR:-build}/testing/bench/boragepier_bench
if (($#)); then
  exec "$program" "$@"
fi
mkdir -p out/bench
for suite in policies frontier services faults; do
  "$program" "$suite" --csv "out/bench/$suite.csv" | tee "out/bench/$suite.txt"
done
"$program" cost | tee out/bench/cost.txt
