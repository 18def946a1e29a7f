"""The tables of ``docs/CAPACITY.md``, written between two marks.

The text around the marks is written by hand and kept.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import pathlib

from daisypick_lab.capacity import roles
from daisypick_lab.capacity import slopes

BEGIN = "<!-- begin: written by make capacity -->"
END = "<!-- end: written by make capacity -->"


def write(path: pathlib.Path, tables: str) -> None:
    """Replace what stands between the marks of a page.

    Raises:
        ValueError: The page lacks the marks.
    """
    text = path.read_text(encoding="utf-8")
    before, has_begin, rest = text.partition(BEGIN)
    _, has_end, after = rest.partition(END)
    if not has_begin or not has_end:
        raise ValueError(f"path: {path} lacks the marks")
    path.write_text(
        f"{before}{BEGIN}\n{tables}\n{END}{after}", encoding="utf-8"
    )


def make_slopes_table(measured: Iterable[slopes.Measured]) -> str:
    """Return the table of measured slopes.

    Examples:
        >>> from daisypick_lab import fit
        >>> line = fit.Line(slope=2.0, intercept=1.0, residual=0.5, points=())
        >>> one = slopes.Measured("a", "s", "things", {1: 4.0}, line)
        >>> print(make_slopes_table([one]).splitlines()[-1])
        | a | s | things: 1 | 4 | 1 | 2 | 12% |
    """
    lines = [
        "| slope | unit | against: points | values "
        "| base | growth | residual |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for one in measured:
        points = ", ".join(f"{x:,}" for x in one.points)
        values = ", ".join(f"{y:.3g}" for y in one.points.values())
        largest = max(map(abs, one.points.values())) or 1.0
        lines.append(
            f"| {one.name} | {one.unit} | {one.against}: {points} | {values} "
            f"| {one.line.intercept:.3g} | {one.line.slope:.3g} "
            f"| {one.line.residual / largest:.0%} |"
        )
    return "\n".join(lines)


def make_roles_table(rows_by_role: Mapping[str, list[roles.Row]]) -> str:
    """Return the table of what each role costs."""
    lines = [
        "| role | what | figure | budget | | computed from |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name, rows in rows_by_role.items():
        for row in rows:
            lines.append(_make_row(name, row))
    return "\n".join(lines)


def _make_row(name: str, row: roles.Row) -> str:
    budget = "" if row.budget is None else f"{row.budget:,.4g}"
    verdict = ""
    if row.budget is not None:
        verdict = "held"
    if row.is_missed:
        verdict = f"**missed {row.value / row.budget:.1f} times**"
    figure = f"{row.value:,.4g} {row.unit}".strip()
    return (
        f"| {name} | {row.what} | {figure} | {budget} | {verdict} | {row.how} |"
    )
