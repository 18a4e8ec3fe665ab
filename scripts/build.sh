#!/usr/bin/env bash
# Configures and builds everything into build/ (or $BUILD_DIR). Extra arguments go to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja "$@" >/dev/null
cmake --build "$build_dir" -- --quiet
