"""Reads demand and usage of organisations from the logs of routers."""

from collections.abc import Iterable

import msgspec

from daisypick_core.scheduling import fair_windows

_LOG_TEXT = "Work by organisation."


def read_seconds(
    lines: Iterable[str],
) -> dict[str, dict[int, fair_windows.Second]]:
    """Return the seconds of each organisation, summed over all routers.

    Text before the first brace of a line, such as the prefix of a log
    collector, is ignored, and so are all other lines.
    """
    by_organisation: dict[str, dict[int, fair_windows.Second]] = {}
    for line in lines:
        if _LOG_TEXT not in line:
            continue
        try:
            entry = msgspec.json.decode(line[line.index("{") :])
        except (msgspec.DecodeError, ValueError):
            # The line was truncated when its process ended.
            continue
        for row in entry["organisations"]:
            seconds = by_organisation.setdefault(row["organisation"], {})
            _add(seconds, int(entry["at"]), row)
    return by_organisation


def _add(
    seconds: dict[int, fair_windows.Second],
    number: int,
    row: dict[str, float],
) -> None:
    before = seconds.get(number)
    added = fair_windows.Second(
        asked=row.get("asked", 0.0),
        got=row.get("begun", 0.0),
        missed=bool(row.get("refused", 0) or row.get("late", 0)),
        largest=row.get("largest", 0.0),
    )
    if before is not None:
        added = fair_windows.Second(
            asked=before.asked + added.asked,
            got=before.got + added.got,
            missed=before.missed or added.missed,
            largest=max(before.largest, added.largest),
        )
    seconds[number] = added
