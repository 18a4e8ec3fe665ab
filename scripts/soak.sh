#!/usr/bin/env bash
# Builds and runs the fault soak: the real programs as separate processes under random faults.
#   scripts/soak.sh --seed N --minutes M    seeds from N on until M minutes have passed
#   scripts/soak.sh --regressions           the seeds of testing/soak/failed_seeds.txt
#   scripts/soak.sh OPTION...               options of boragepier_soak, see --help
# Exits with 1 if a promise was broken. Logs of each seed stay in out/soak/seed-N.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
program=${BUILD_DIR:-build}/testing/soak/boragepier_soak
seed=1
minutes=""
rest=()
regressions=no
while (($#)); do
  case $1 in
    --seed) seed=$2; shift ;;
    --minutes) minutes=$2; shift ;;
    --regressions) regressions=yes ;;
    *) rest+=("$1") ;;
  esac
  shift
done
status=0
if [[ $regressions == yes ]]; then
  while read -r failed _; do
    "$program" --seed "$failed" --seconds 12 "${rest[@]}" || status=1
  done < <(grep -E '^[0-9]' testing/soak/failed_seeds.txt)
elif [[ -n $minutes ]]; then
  end=$((SECONDS + minutes * 60))
  while ((SECONDS < end)); do
    "$program" --seed "$seed" "${rest[@]}" || status=1
    seed=$((seed + 1))
  done
else
  exec "$program" --seed "$seed" "${rest[@]}"
fi
exit $status
