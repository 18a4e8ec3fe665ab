#!/usr/bin/env bash
# Configures the build of deploy/system.toml in a new directory, with no clang on PATH.
#   configure_test.sh SOURCE_DIR
set -euo pipefail
source_dir=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/bin"
for program in /usr/bin/*; do
  [[ ${program##*/} == clang* ]] || ln -s "$program" "$work/bin/"
done
flags=$(sed -n 's/^build = "cmake -S \. -B target \([^&]*\)&&.*/\1/p' "$source_dir/deploy/system.toml")
[[ -n $flags ]] || { echo "deploy/system.toml: no flags found in build"; exit 1; }
# Programs are found on PATH only, libraries where the compiler finds them.
read -ra flags <<<"$flags"
PATH=$work/bin cmake -S "$source_dir" -B "$work/build" "${flags[@]}" \
  -DCMAKE_FIND_USE_CMAKE_SYSTEM_PATH=OFF \
  -DCMAKE_LIBRARY_PATH="/usr/lib/$(g++ -print-multiarch);/usr/lib"
