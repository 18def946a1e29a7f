"""Entry point of ``python -m daisypick_node``."""

from daisypick_node import main

if __name__ == "__main__":
    main.main()
