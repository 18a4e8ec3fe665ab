#!/usr/bin/env bash
# Plays scores and hunts on the sites of the users' platform, one after the other, and prints a table.
#   scripts/regression.sh [--kit DIR] [--bench FILE] [--jobs N] [--why TEXT] [STEP...]
# A step is score:SITE or hunt:SITE:DAYS, where SITE is the path of a site file below DIR without its
# ending. Without steps: a score of each site, then 40 days of hunting on each small site and 8 on each
# large one. A step that was finished with the same sources is not played again, so a run that was
# stopped (Ctrl-C or SIGTERM) goes on where it was. Output of the steps: out/regression/SOURCES.
set -uo pipefail
cd "$(dirname "$0")/.."
kit=../given/kit/more/system
bench=""
jobs=$((($(nproc) + 1) / 2))
why="Regression run"
steps=()
while (($#)); do
  case $1 in
    --kit) kit=$2; shift ;;
    --bench) bench=$2; shift ;;
    --jobs) jobs=$2; shift ;;
    --why) why=$2; shift ;;
    score:* | hunt:*:*) steps+=("$1") ;;
    *) echo "usage: scripts/regression.sh [--kit DIR] [--bench FILE] [--jobs N] [--why TEXT] [STEP...]" >&2; exit 2 ;;
  esac
  shift
done
bench=${bench:-$kit/more/bench-d17393/bin/fleetbench}
[[ -x $bench ]] || { echo "regression.sh: $bench cannot be run" >&2; exit 2; }
small=(sites/pryce-gateway sites/ringrueck)
large=(large/pryce-gateway-large grown/pryce-gateway-grown grown/ringrueck-grown)
if ((${#steps[@]} == 0)); then
  for site in "${small[@]}" "${large[@]}"; do steps+=("score:$site"); done
  for site in "${small[@]}"; do steps+=("hunt:$site:40"); done
  for site in "${large[@]}"; do steps+=("hunt:$site:8"); done
fi

# The journal and the documentation do not change what is measured.
sources=$({
  git ls-files -s -- . ':!journal' ':!docs'
  git diff HEAD -- . ':!journal' ':!docs'
} | sha256sum | cut -c1-12)
results=out/regression/$sources
mkdir -p "$results"

child=""
stop() {
  [[ -n $child ]] && kill -INT "$child" 2>/dev/null && wait "$child"
  echo "stopped; the same command goes on from here"
  exit 130
}
trap stop INT TERM

status=0
for step in "${steps[@]}"; do
  IFS=: read -r verb site days <<<"$step"
  output=$results/${step//[^a-z0-9-]/_}.txt
  if [[ ! -e $output ]]; then
    arguments=("$verb" "$kit/$site.toml" --jobs "$jobs" --why "$why")
    [[ $verb == hunt ]] && arguments+=(--days "$days")
    "$bench" "${arguments[@]}" >"$output.part" 2>&1 &
    child=$!
    wait "$child"
    result=$?
    child=""
    # An incomplete output is played again by the next run.
    if grep -q '^snapshot ' "$output.part"; then
      mv "$output.part" "$output"
    else
      echo "$step: ended with $result before its result, see $output.part"
      status=1
      continue
    fi
  fi
  if [[ $verb == score ]]; then
    score=$(sed -n 's/^score on the standard days of .*): \([0-9.]*\).*/\1/p' "$output")
    gate=$(sed -n 's/^GATE //p' "$output")
    worth=$(awk '/^(trouble|scale)-[0-9]/ && $2 ~ /\// { sum += $4; n++ } END { if (n) printf "%.3f", sum / n }' "$output")
    printf '%-40s score %-6s gate %-7s mean worth of days with trouble %s\n' "$step" "$score" "$gate" "$worth"
    [[ $gate == passed ]] || status=1
  else
    summary=$(grep -E ' with a rule broken' "$output" | tail -1)
    printf '%-40s %s\n' "$step" "$summary"
    [[ $summary == *", 0 with a rule broken"* ]] || status=1
  fi
done
exit $status
