"""The build step compiles the modules that a gateway imports."""

from __future__ import annotations

import importlib.util
import subprocess
import sys
from pathlib import Path

BUILD = Path(__file__).parent.parent / "deploy" / "build.py"


def _load_build():
    spec = importlib.util.spec_from_file_location("build", BUILD)
    build = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(build)
    return build


def _run(folder, code):
    command = [sys.executable, "-B", "-v", "-c", code]
    return subprocess.run(
        command, cwd=folder, capture_output=True, text=True, check=True
    ).stderr


def test_compiled_module_is_used_after_a_copy_and_not_after_a_change(
    tmp_path, monkeypatch
):
    # Guards against byte code that a copy of the checkout makes invalid, so that each
    # start compiles everything, and against the use of byte code of an older source.
    monkeypatch.delenv("PYTHONPYCACHEPREFIX", raising=False)
    source = tmp_path / "module_of_test.py"
    source.write_text("VALUE = 1\n", encoding="utf-8")
    _load_build().compile_modules(tmp_path)
    source.touch()
    assert f"matches {source}" in _run(tmp_path, "import module_of_test")
    source.write_text("VALUE = 2\n", encoding="utf-8")
    _run(tmp_path, "import module_of_test; assert module_of_test.VALUE == 2")
