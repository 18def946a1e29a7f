"""``python -m daisypick_cli``."""

from daisypick_cli import main

if __name__ == "__main__":
    main.main()
