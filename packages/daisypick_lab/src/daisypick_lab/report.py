"""Rendering of a result as text tables.

Examples:
    >>> print(table(["name", "n"], [["a", "1"], ["bc", "10"]]))
    name   n
    a      1
    bc    10
"""

from collections.abc import Iterator
from collections.abc import Sequence

from daisypick_lab import results

_GAP = "  "
_MILLISECONDS = 1000.0
_MAX_SHOWN_FAULTS = 5


def table(titles: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a text table; the first column is left-aligned, others right."""
    lines = [titles, *rows]
    widths = [max(len(line[n]) for line in lines) for n in range(len(titles))]
    return "\n".join(
        _GAP.join(
            cell.rjust(width) if column else cell.ljust(width)
            for column, (cell, width) in enumerate(
                zip(line, widths, strict=True)
            )
        ).rstrip()
        for line in lines
    )


def render(result: results.Result) -> str:
    """Return a result as text."""
    parts = [
        _organisation_table(result),
        _phase_table(result),
        "\n".join(_summary(result)),
    ]
    return "\n\n".join(parts)


def _organisation_table(result: results.Result) -> str:
    titles = (
        "organisation",
        "share",
        "requests",
        "whole",
        "refused",
        "tokens",
        "due",
        "received",
        "ttft-p50",
        "ttft-p95",
        "token-p95",
    )
    rows = [
        [
            own.name,
            f"{own.share:g}",
            str(own.sent),
            str(own.whole),
            str(own.refused),
            str(own.tokens),
            _percent(own.due),
            _percent(own.received),
            _milliseconds(own.first_token_p50),
            _milliseconds(own.first_token_p95),
            _milliseconds(own.token_gap_p95),
        ]
        for own in result.organisations
    ]
    return table(titles, rows)


def _phase_table(result: results.Result) -> str:
    titles = (
        "phase",
        "seconds",
        "utilisation",
        "tokens/s",
        "whole",
        "refused",
        "broken",
        "wrong",
        "ttft-p50",
        "ttft-p95",
    )
    rows = [
        [
            phase.name,
            f"{phase.seconds:.1f}",
            _percent(phase.utilisation),
            f"{phase.tokens_per_second:.0f}",
            str(phase.whole),
            str(phase.refused),
            str(phase.broken),
            str(phase.wrong),
            _milliseconds(phase.first_token_p50),
            _milliseconds(phase.first_token_p95),
        ]
        for phase in result.phases
    ]
    return table(titles, rows)


def _summary(result: results.Result) -> Iterator[str]:
    fairness = result.fairness
    leaving = result.leaving
    largest = fairness.gap / fairness.largest_request
    yield (
        f"fairness gap: {fairness.gap:.0f} tokens per unit of share, "
        f"{largest:.1f} largest requests, among "
        f"{len(fairness.backlogged)} backlogged organisations"
    )
    yield (
        f"control traffic: {result.control.bytes_per_second:.0f} bytes per "
        f"second for each of {result.control.processes} processes"
    )
    yield (
        f"data centre {leaving.data_centre}: removal in force after "
        f"{leaving.out_in_force:.2f} s, last new call there after "
        f"{leaving.last_new_work:.1f} s, restore in force after "
        f"{leaving.back_in_force:.2f} s"
    )
    yield f"overloads of cold backend servers: {result.falls}"
    codes = ", ".join(
        f"{code}: {count}"
        for code, count in sorted(result.refusals_by_code.items())
    )
    yield f"refusals by code: {codes or 'none'}"
    yield from _verdict(result.verdict)


def _verdict(verdict: results.VerdictResult) -> Iterator[str]:
    counted = {
        "answer to another request": verdict.wrong,
        "incomplete answer": verdict.broken,
        "ran twice": verdict.ran_twice,
        "reported as not run but ran": verdict.untrue_refusals,
    }
    for title, found in counted.items():
        yield f"{title}: {len(found)}"
        for reason in found[:_MAX_SHOWN_FAULTS]:
            yield f"  {reason}"
    if verdict.unfinished:
        yield "some calls did not finish"
    yield "verdict: " + ("good" if verdict.is_clean else "BAD")


def _percent(part: float | None) -> str:
    return "-" if part is None else f"{part:.1%}"


def _milliseconds(seconds: float) -> str:
    return f"{seconds * _MILLISECONDS:.0f}ms"
