"""Measure the slopes and write the tables: ``make capacity``.

Usage: ``python -m daisypick_lab.capacity [--page FILE] [--json]``.
"""

import argparse
import datetime
import pathlib
import sys

import msgspec

from daisypick_lab.capacity import claim_slopes as _claims  # noqa: F401
from daisypick_lab.capacity import configuration_slopes as _conf  # noqa: F401
from daisypick_lab.capacity import exchange_slopes as _exchange  # noqa: F401
from daisypick_lab.capacity import page
from daisypick_lab.capacity import roles
from daisypick_lab.capacity import serving_slopes as _serving  # noqa: F401
from daisypick_lab.capacity import size
from daisypick_lab.capacity import slopes
from daisypick_lab.capacity import tally_slopes as _tally  # noqa: F401


def main() -> None:
    """Measure, compute and write."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--page", type=pathlib.Path, default=None)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    measured = {name: slopes.measure(name) for name in slopes.by_name}
    inputs = roles.Inputs(size=size.SIZE, budget=size.BUDGET, by_name=measured)
    rows_by_role = {
        name: compute(inputs) for name, compute in roles.by_name.items()
    }
    if arguments.json:
        result = {"slopes": measured, "roles": rows_by_role}
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
        return
    tables = "\n\n".join(
        [
            f"Measured {datetime.date.today()} by `make capacity`.",
            "### Measured slopes",
            page.make_slopes_table(measured.values()),
            "### Roles at the size to design for",
            page.make_roles_table(rows_by_role),
        ]
    )
    if arguments.page is None:
        sys.stdout.write(tables + "\n")
    else:
        page.write(arguments.page, tables)


if __name__ == "__main__":
    main()
