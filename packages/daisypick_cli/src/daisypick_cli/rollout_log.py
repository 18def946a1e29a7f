"""Reads the course of roll-outs from the logs of routers."""

from collections.abc import Iterable
import typing

import msgspec

_PHASE_TEXT = "A roll-out has reached a phase."
_REJECTED_TEXT = "A version is rolled back."
_ANSWERS_TEXT = "Answers of both versions."
_WITHDRAWN_TEXT = "An order was deleted before it had ended."


class Step(typing.NamedTuple):
    """A step of a roll-out.

    Attributes:
        at: Unix time in seconds at which the first router logged it.
        service: Name of the service.
        target: The version.
        text: What happened.
        routers: Number of processes that logged it.
    """

    at: float
    service: str
    target: str
    text: str
    routers: int


class Answers(typing.NamedTuple):
    """Answers of one version on one route, as of the last count.

    Attributes:
        service: Name of the service.
        target: The version that the order names.
        route: Name of the route.
        version: ``in force`` or ``target``.
        answers: Number of answers.
        failures: Number of failures among them.
        first_ms: Median milliseconds to the first byte, zero if unknown.
        pace_ms: Median milliseconds from event to event, zero if unknown.
    """

    service: str
    target: str
    route: str
    version: str
    answers: int
    failures: int
    first_ms: float
    pace_ms: float


def read(lines: Iterable[str]) -> tuple[list[Step], list[Answers]]:
    """Return the steps of all roll-outs in time, and the last counts.

    Text before the first brace of a line is ignored, and so are other lines.
    """
    entries = sorted(_read_entries(lines), key=lambda entry: entry["at"])
    step_by_key: dict[tuple[str, str, str], Step] = {}
    answers_by_order: dict[tuple[str, str], list[Answers]] = {}
    for entry in entries:
        service, target = entry["service"], entry["target"]
        if entry["say"] == _ANSWERS_TEXT:
            answers_by_order[service, target] = [
                Answers(service=service, target=target, **row)
                for row in entry["rows"]
            ]
            continue
        text = _describe(entry)
        known = step_by_key.get((service, target, text))
        step_by_key[service, target, text] = Step(
            at=known.at if known else entry["at"],
            service=service,
            target=target,
            text=text,
            routers=known.routers + 1 if known else 1,
        )
    answers = [row for rows in answers_by_order.values() for row in rows]
    return sorted(step_by_key.values()), answers


def _read_entries(lines: Iterable[str]) -> Iterable[dict[str, typing.Any]]:
    texts = (_PHASE_TEXT, _REJECTED_TEXT, _ANSWERS_TEXT, _WITHDRAWN_TEXT)
    for line in lines:
        if not any(text in line for text in texts):
            continue
        try:
            yield msgspec.json.decode(line[line.index("{") :])
        except (msgspec.DecodeError, ValueError):
            # The line was truncated when its process ended.
            continue


def _describe(entry: dict[str, typing.Any]) -> str:
    if entry["say"] == _PHASE_TEXT:
        return entry["phase"].lower().replace("_", " ")
    if entry["say"] == _REJECTED_TEXT:
        return f"rejected: {entry['reason']}"
    return "order deleted"
