#!/usr/bin/env bash
# Checks the Promela models with spin, and that each mutant is rejected by the invariant meant for
# it. Ends with an error if a model is wrong or a mutant is accepted.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
work=$PWD/$build_dir/model
mkdir -p "$work"
failed=0

# check MODEL EXPECTED [DEFINE...]: EXPECTED is "correct" or the assertion that must be violated.
check() {
  local model=$1 expected=$2 label dir
  shift 2
  label="$model${*:+ $*}"
  dir=$work/${label//[^A-Za-z0-9]/-}
  rm -rf "$dir"
  mkdir -p "$dir"
  if ! (cd "$dir" && spin -a "$@" "$OLDPWD/model/$model.pml" >spin.log 2>&1 &&
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -DVECTORSZ=2048 -o pan pan.c >gcc.log 2>&1 &&
    timeout 150 ./pan -m200000 >pan.log 2>&1); then
    echo "FAILED: $label could not be run; see $dir"
    failed=1
    return
  fi
  local states violated
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.log" | head -1)
  violated=$(sed -n 's/^pan:1: \(.*\) (at depth.*/\1/p' "$dir/pan.log")
  if grep -qE 'max search depth too small|out of memory|MEMLIM bound' "$dir/pan.log"; then
    echo "FAILED: $label: search incomplete; see $dir"
    failed=1
  elif [[ $expected == correct && -z $violated ]]; then
    echo "$label: no violation in $states states"
  elif [[ $expected != correct && $violated == *"$expected"* ]]; then
    echo "$label: rejected by ($expected) after $states states"
  else
    echo "FAILED: $label: expected $expected, got ${violated:-no violation}; see $dir"
    failed=1
  fi
}

check claims correct
check claims 'runs<=1' -DNO_CLAIM -DONLY_RUNS
check claims 'runs<=1' -DLEASE -DONLY_RUNS
check claims 'runs<=1' -DDELETE_ANY -DONLY_RUNS
check claims 'runs<=1' -DLOST_IS_GRANTED -DONLY_RUNS
check claims 'runs==0' -DGUESS_NOT_RUN
check publish correct
check publish 'winners[rowVersion]<=1' -DNO_COMPARE
check publish '!(inEffect[id])' -DLOST_IS_REFUSED
check propagate correct
check propagate '>=have[me]' -DACCEPT_ANY
exit "$failed"
