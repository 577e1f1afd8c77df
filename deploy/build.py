"""Installs the packages that the daemon imports into target/deps."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "target" / "deps"

# Serve the product's own interface only.
NOT_NEEDED = ("aiohttp", "absl-py", "statsd")


def main() -> int:
    """Install and return the exit code of pip."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    packages = [
        package
        for package in project["project"]["dependencies"]
        if not package.startswith(NOT_NEEDED)
    ]
    pip = [sys.executable, "-m", "pip", "install", "--quiet", "--upgrade"]
    done = subprocess.run([*pip, "--target", str(TARGET), *packages], check=False)
    if done.returncode == 0:
        TARGET.touch()
    return done.returncode


if __name__ == "__main__":
    sys.exit(main())
