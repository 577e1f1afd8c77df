#!/bin/sh
# Builds the stand-ins of the second review, which are Python and need no packages.
# Guards against: a stand-in that doesn't compile shows up only as a case that can't run.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'CHECK'
import pathlib
import sys

for folder in ("stand_ins_2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        try:
            compile(path.read_text(encoding="utf-8"), str(path), "exec")
        except SyntaxError as exc:
            sys.exit(f"{path}: {exc}")
CHECK
