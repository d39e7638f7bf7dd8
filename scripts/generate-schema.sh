#!/usr/bin/env bash
# Writes the C++ code of the Cap'n Proto schemas given by name, or of all, to Source/Schema/Generated.
set -euo pipefail
cd "$(dirname "$0")/../Source/Schema"
mkdir -p Generated
if [ $# -eq 0 ]; then
    set -- *.capnp
fi
capnp compile -oc++:Generated "$@"
