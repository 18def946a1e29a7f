"""Comparison of results with earlier results.

Examples:
    >>> read(None)
    []
    >>> read("/nowhere.json")
    'compare: /nowhere.json: No such file or directory'
"""

import pathlib
import typing

import msgspec

from daisypick_lab import report
from daisypick_lab import results


def read(path: str | None) -> list[results.Result] | str:
    """Return the results in a file, or an error message.

    Without a path there are no earlier results.
    """
    if path is None:
        return []
    try:
        data = pathlib.Path(path).read_bytes()
        return msgspec.json.decode(data, type=list[results.Result])
    except OSError as error:
        return f"compare: {path}: {error.strerror}"
    except msgspec.MsgspecError as error:
        return f"compare: {path}: {error}"


def measures(result: results.Result) -> dict[str, float]:
    """Return the compared figures by name, with the unit in the name."""
    found = {
        "overloads of cold servers": float(result.falls),
        "fairness gap (tokens per share)": result.fairness.gap,
        "control (bytes/s per process)": result.control.bytes_per_second,
        "removal in force (s)": result.leaving.out_in_force,
        "last new call (s)": result.leaving.last_new_work,
        "restore in force (s)": result.leaving.back_in_force,
    }
    for phase in result.phases:
        found[f"{phase.name}: utilisation"] = phase.utilisation
        found[f"{phase.name}: tokens/s"] = phase.tokens_per_second
        found[f"{phase.name}: ttft p95 (s)"] = phase.first_token_p95
        found[f"{phase.name}: refused"] = phase.refused
        found[f"{phase.name}: broken"] = phase.broken
    return found


def render(
    earlier: typing.Sequence[results.Result],
    now: typing.Sequence[results.Result],
) -> str:
    """Return a table of all figures with their changes."""
    earlier_by_name = {result.deployment: result for result in earlier}
    rows = []
    for result in now:
        before = earlier_by_name.get(result.deployment)
        if before is None:
            continue
        figures = measures(before)
        for name, value in measures(result).items():
            earlier_value = figures.get(name, 0.0)
            rows.append(
                [
                    f"{result.deployment} {name}",
                    f"{earlier_value:.3f}",
                    f"{value:.3f}",
                    f"{value - earlier_value:+.3f}",
                ]
            )
    titles = ["measure", "earlier", "now", "change"]
    return report.table(titles, rows)
