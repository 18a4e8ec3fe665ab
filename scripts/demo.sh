#!/usr/bin/env bash
# Installs packages, builds, and shows the whole path with processes on loopback: the sample services
# of examples/, three entry instances, faults and changes under load. Prints one table and exits with
# 1 if a promise was broken. Takes under 40 s after the build.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh
exec "${BUILD_DIR:-build}/testing/e2e/boragepier_demo" examples
