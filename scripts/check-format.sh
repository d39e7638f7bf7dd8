#!/usr/bin/env bash
# Fails when a source file differs from what clang-format writes. With --fix rewrites the files instead.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '/Generated/' | xargs -r -P 8 -n 16 clang-format "${mode[@]}"
