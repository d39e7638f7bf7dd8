#!/usr/bin/env bash
# Installs what is needed, builds, and runs every test; with --lint also the formatter, linter and sanitizer builds.
set -euo pipefail
cd "$(dirname "$0")/.."
# Paths relative to the tree, so that the compiler cache serves every checkout.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
lint=no
[ "${1:-}" = "--lint" ] && lint=yes
log=$(mktemp)
trap 'rm -f "$log"' EXIT

# Runs a step quietly; prints its output only when it fails.
step() {
    local name=$1
    shift
    if ! "$@" >"$log" 2>&1; then
        cat "$log"
        echo "failed: $name"
        exit 1
    fi
    echo "ok: $name"
}

run_tests() {
    local folder=$1
    local known
    known=$(sed -n "s/^test: \([A-Za-z-]*\) in $folder\$/\1/p" KNOWN-RED.txt 2>/dev/null | paste -sd'|')
    if [ -n "$known" ]; then
        echo "known red in $folder: $known"
        ctest --test-dir "$folder" -R "^($known)\$" | grep -E '(Passed|Failed)' || true
    fi
    ctest --test-dir "$folder" --output-on-failure -j 4 ${known:+-E "^($known)\$"} | tee "$log" | grep -E '^[0-9]+% tests passed|^Total Test time' || true
    if ! grep -q '^100% tests passed' "$log"; then
        cat "$log"
        echo "failed: tests in $folder"
        exit 1
    fi
}

step "packages" scripts/install-packages.sh
if [ "$lint" = yes ]; then
    step "format" scripts/check-format.sh
    step "wire names" scripts/check-wire-names.sh
fi
step "configure" cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
step "build" cmake --build build
run_tests build
if [ "$lint" = yes ]; then
    step "lint" scripts/check-lint.sh build
    step "configure with sanitizers" cmake -S . -B build-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug -DBERYLPORT_SANITIZE=ON
    step "build with sanitizers" cmake --build build-sanitize
    run_tests build-sanitize
fi
