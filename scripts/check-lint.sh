#!/usr/bin/env bash
# Runs clang-tidy over every source file of the compilation database in the given build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files -co --exclude-standard '*.cpp' | grep -v '/Generated/' \
    | xargs -r -P 8 -n 1 clang-tidy --quiet -p "$build" --extra-arg=-Wno-unknown-warning-option
