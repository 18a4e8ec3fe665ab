#!/usr/bin/env bash
# Checks formatting (clang-format) and runs clang-tidy on all sources, or on the files given.
# With --fix it formats in place instead. Needs a configured build directory.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
fix=no
if [[ ${1:-} == --fix ]]; then
  fix=yes
  shift
fi
if (($#)); then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc')
fi
if [[ $fix == yes ]]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${files[@]}"

# Names of the users' platform are decoded in platform/ and stand nowhere else in the code.
platform_names='Attempt-Id|Server-Signature|Server-Load|Not-Executed|Server-Leaving|Expected-Instance|rows-(tx|feed|get)|Store-Era'
if git grep -nE "$platform_names" -- boragepier apps testing; then
  echo "names of the platform stand outside platform/"
  exit 1
fi

# A translation unit is checked again only when its preprocessed text or the rules change. The time
# of the run is left out of the text: pcg_random.hpp expands __TIME__.
cache=$build_dir/lint-cache
mkdir -p "$cache"
check_unit() {
  local unit=$1 key
  key=$({
    cat .clang-tidy
    clang++ -std=c++20 -E -I. -Wno-builtin-macro-redefined -D__TIME__= -D__DATE__= "$unit" 2>/dev/null
  } | sha256sum | cut -d' ' -f1)
  [[ -e $2/$key ]] && return 0
  if clang-tidy --quiet -p "$3" "$unit" 2>/dev/null; then
    touch "$2/$key"
  else
    echo "clang-tidy: $unit"
    return 1
  fi
}
export -f check_unit
printf '%s\n' "${files[@]}" | grep '\.cc$' |
  xargs -P "$(nproc)" -I{} bash -c 'check_unit "$@"' _ {} "$cache" "$build_dir"
