"""Rendering of the benchmark result as text in a Markdown page.

The text is enclosed in two markers so that a later run can replace it.
"""

import datetime
import pathlib

from daisypick_lab import fit
from daisypick_lab import report
from daisypick_lab.bench import measurements

BEGIN = "<!-- bench: begin -->"
END = "<!-- bench: end -->"
COMMAND = "make bench"
# Peak load per second of the reference fleet.
_PEAK_REQUESTS = 52_000
_PEAK_TOKENS = 14_000_000
_MICROSECONDS = 1e6
_MEGABYTE = 1e6
_THOUSAND = 1000.0


def render(result: measurements.BenchResult, day: datetime.date) -> str:
    """Return the result as Markdown."""
    parts = [
        f"Measured {day.isoformat()} by `{COMMAND}`, version "
        f"{result.version}: separate processes on loopback, on a shared "
        "machine. Slopes over the points shown; the residual is the root mean "
        "square distance from the line.",
        _code(_cost_table(result)),
        _code(_memory_table(result)),
        _latency(result),
        _capacity(result),
    ]
    return "\n\n".join(parts)


def put_into(page: str, text: str) -> str:
    r"""Return the page with the text between the markers.

    A page without markers gets the text and the markers at its end.

    Examples:
        >>> page = put_into("# Title", "first")
        >>> print(put_into(page, "second").replace("\n\n", "\n"), end="")
        # Title
        <!-- bench: begin -->
        second
        <!-- bench: end -->
    """
    block = f"{BEGIN}\n{text}\n{END}"
    if BEGIN not in page:
        return f"{page.rstrip()}\n\n{block}\n"
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{block}{after}"


def write(path: pathlib.Path, text: str) -> None:
    """Write the text into a page; create the page if it does not exist."""
    page = path.read_text(encoding="utf-8") if path.exists() else _NEW_PAGE
    path.write_text(put_into(page, text), encoding="utf-8")


_NEW_PAGE = "# Measurements\n\n## Cost of the request path\n"


def _code(text: str) -> str:
    return f"```text\n{text}\n```"


def _cost_table(result: measurements.BenchResult) -> str:
    titles = ["processor time", "us each", "fixed ms", "residual ms", "points"]
    rows = []
    for cost in (result.request, result.token):
        lines = {
            "router": cost.router,
            "agent": cost.agent,
            "engine, routed": cost.engine,
            "engine, direct (baseline)": cost.engine_direct,
        }
        for name, line in lines.items():
            rows.append(
                [
                    f"{name}, per {cost.unit}",
                    f"{line.slope * _MICROSECONDS:.1f}",
                    f"{line.intercept * _THOUSAND:.1f}",
                    f"{line.residual * _THOUSAND:.1f}",
                    _points(line, _THOUSAND),
                ]
            )
    return report.table(titles, rows)


def _memory_table(result: measurements.BenchResult) -> str:
    titles = [
        "memory",
        "idle MB",
        "MB per 1,000 streams",
        "residual MB",
        "points",
    ]
    rows = [
        [
            name,
            f"{line.points[0][1] / _MEGABYTE:.1f}",
            f"{line.slope * _THOUSAND / _MEGABYTE:.1f}",
            f"{line.residual / _MEGABYTE:.2f}",
            _points(line, 1 / _MEGABYTE),
        ]
        for name, line in (
            ("router", result.memory.router),
            ("agent", result.memory.agent),
        )
    ]
    return report.table(titles, rows)


def _points(line: fit.Line, factor: float) -> str:
    return " ".join(f"{x:.0f}:{y * factor:.0f}" for x, y in line.points)


def _latency(result: measurements.BenchResult) -> str:
    found = result.first_token
    added_p50 = (found.routed_p50 - found.direct_p50) * _THOUSAND
    added_p95 = (found.routed_p95 - found.direct_p95) * _THOUSAND
    return (
        f"Time to first token, {found.calls} calls each, one at a time, "
        f"alternating direct and routed: added {added_p50:.2f} ms at p50 and "
        f"{added_p95:.2f} ms at p95 (direct {found.direct_p50 * _THOUSAND:.2f}"
        f" and {found.direct_p95 * _THOUSAND:.2f} ms, routed "
        f"{found.routed_p50 * _THOUSAND:.2f} and "
        f"{found.routed_p95 * _THOUSAND:.2f} ms).\n\n"
        f"Idle: router {result.idle.router:.2%} and agent "
        f"{result.idle.agent:.2%} of a core over {result.idle.seconds:.0f} s."
    )


def _capacity(result: measurements.BenchResult) -> str:
    lines = []
    for name in ("router", "agent"):
        request = getattr(result.request, name).slope
        token = getattr(result.token, name).slope
        cores = _PEAK_REQUESTS * request + _PEAK_TOKENS * token
        lines.append(
            f"- {name}: a core handles {1 / token:,.0f} tokens per second, or "
            f"{1 / request:,.0f} short requests per second. The reference "
            f"peak of {_PEAK_REQUESTS:,} requests and {_PEAK_TOKENS:,} tokens "
            f"per second would need {cores:,.0f} cores (computed)."
        )
    return "\n".join(lines)
