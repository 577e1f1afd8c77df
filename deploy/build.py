"""Installs the packages that the gateway imports into target/deps."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "target" / "deps"

# Needed only by instances started with the `filbertshelf` command, not by gateways.
NOT_NEEDED = ("aiohttp", "absl-py", "statsd")


def main() -> int:
    """Install the packages and return the exit code of pip."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    packages = [
        package
        for package in project["project"]["dependencies"]
        if not package.startswith(NOT_NEEDED)
    ]
    pip = [sys.executable, "-m", "pip", "install", "--quiet", "--upgrade"]
    result = subprocess.run([*pip, "--target", str(TARGET), *packages], check=False)
    if result.returncode == 0:
        TARGET.touch()
    return result.returncode


if __name__ == "__main__":
    sys.exit(main())
