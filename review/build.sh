#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs, as those of tests/Process are; checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast, glob
for name in sorted(glob.glob("standins/*.py") + glob.glob("*/case.py") + glob.glob("entries/*.py")):
    ast.parse(open(name, encoding="utf-8").read(), name)
print("the stand-ins compile")
PYTHON
