"""Run the router: ``python -m daisypick_router``.

The platform starts the program ``daisypick-router`` instead, which also covers
the start of the interpreter.
"""

import signal
import sys


def main() -> int:
    """Run the router; return the exit code."""
    # The imports take some tenths of a second, in which SIGHUP would end the
    # process. A blocked signal stays pending until its handler is installed.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from daisypick_router import process

    return process.run()


if __name__ == "__main__":
    sys.exit(main())
