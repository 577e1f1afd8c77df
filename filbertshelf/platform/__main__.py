"""Runs a gateway on the platform: `python3 -m filbertshelf.platform`."""

import signal
import sys

# Until the settings are read a change of them needs no action, and the default one
# ends the process. The other modules take most of the start to load.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from filbertshelf.platform.program import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
