"""Installs the packages of a gateway into target/deps and compiles all modules."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEPS_DIR = ROOT / "target" / "deps"
SOURCE_DIR = ROOT / "filbertshelf"

# Needed only by what the `filbertshelf` command starts, not by gateways.
EXCLUDED_PACKAGES = ("aiohttp", "absl-py", "hdrhistogram", "statsd")


def main() -> int:
    """Install the packages, compile them and the project, and return the exit code."""
    if not _is_newer(DEPS_DIR, ROOT / "pyproject.toml"):
        exit_code = _install()
        if exit_code:
            return exit_code
        compile_modules(DEPS_DIR)
        DEPS_DIR.touch()
    compile_modules(SOURCE_DIR)
    return 0


def _is_newer(path: Path, other: Path) -> bool:
    return path.exists() and path.stat().st_mtime > other.stat().st_mtime


def _install() -> int:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    packages = [
        package
        for package in project["project"]["dependencies"]
        if not package.startswith(EXCLUDED_PACKAGES)
    ]
    pip = [sys.executable, "-m", "pip", "install", "--quiet", "--upgrade"]
    pip += ["--no-compile", "--target", str(DEPS_DIR)]
    return subprocess.run([*pip, *packages], check=False).returncode


def compile_modules(folder: Path) -> None:
    """Write the byte code of all modules in a folder, if the folder is writable.

    The repository is read-only at run time, so each start would compile the modules
    again. Byte code that names the hash of its source stays valid when the files are
    copied with other times, and is not used for a source that has changed. A module
    that can't be compiled is compiled at its import, so the result is not checked.
    """
    command = [sys.executable, "-m", "compileall", "-q"]
    command += ["--invalidation-mode", "checked-hash", str(folder)]
    subprocess.run(command, check=False)


if __name__ == "__main__":
    sys.exit(main())
