"""Run the router: ``python -m daisypick_router``."""

import signal
import sys


def main() -> int:
    """Run the router; return the exit code."""
    # The imports take some tenths of a second, in which SIGHUP would end the
    # process. Ignoring it loses nothing: the settings are read after them, and
    # the file is polled.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from daisypick_router import process

    return process.run()


if __name__ == "__main__":
    sys.exit(main())
