"""``python -m daisypick_lab.bench [--output FILE] [--page FILE]``.

Prints the result as text; ``--output`` also writes it as JSON and ``--page``
puts the text into a Markdown page.
"""

import argparse
import datetime
import pathlib
import sys

import msgspec

from daisypick_lab.bench import measurements
from daisypick_lab.bench import text


def main(arguments: list[str]) -> int:
    """Run the benchmark and return the exit code."""
    parser = argparse.ArgumentParser(prog="daisypick_lab.bench")
    parser.add_argument("--output", type=pathlib.Path)
    parser.add_argument("--page", type=pathlib.Path)
    options = parser.parse_args(arguments)
    result = measurements.measure_all(
        lambda what: print(f"measuring {what}", file=sys.stderr, flush=True)
    )
    today = datetime.datetime.now(tz=datetime.UTC).date()
    rendered = text.render(result, today)
    print(rendered)
    if options.output is not None:
        encoded = msgspec.json.format(msgspec.json.encode(result))
        options.output.write_bytes(encoded + b"\n")
    if options.page is not None:
        text.write(options.page, rendered)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
