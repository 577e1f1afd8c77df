"""Entry point of `python3 -m filbertshelf.platform`, which runs a gateway."""

import signal
import sys

# A SIGHUP before the settings are read needs no reload, but its default action would
# end the process. It is ignored before the other imports, which take most of the
# startup time.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from filbertshelf.platform.program import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
