"""Run the router: ``python -m daisypick_router``."""

import sys

from daisypick_router import process

if __name__ == "__main__":
    sys.exit(process.run())
