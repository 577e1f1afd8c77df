"""Installs the packages that a gateway needs into target/deps."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEPS_DIR = ROOT / "target" / "deps"

# Needed only by instances started with the `filbertshelf` command, not by gateways.
EXCLUDED_PACKAGES = ("aiohttp", "absl-py", "statsd")


def main() -> int:
    """Install the packages and return the exit code of pip."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    packages = [
        package
        for package in project["project"]["dependencies"]
        if not package.startswith(EXCLUDED_PACKAGES)
    ]
    pip = [sys.executable, "-m", "pip", "install", "--quiet", "--upgrade"]
    result = subprocess.run([*pip, "--target", str(DEPS_DIR), *packages], check=False)
    if result.returncode == 0:
        DEPS_DIR.touch()
    return result.returncode


if __name__ == "__main__":
    sys.exit(main())
