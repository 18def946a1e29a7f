"""Entry point of ``daisypickd`` and of ``python -m daisypick_node``."""

import signal


def main() -> None:
    """Run the command line."""
    # The imports take most of a second, in which SIGHUP would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from daisypick_node import main as command_line

    command_line.main()


if __name__ == "__main__":
    main()
