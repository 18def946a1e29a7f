import datetime

from daisypick_lab import fit
from daisypick_lab.bench import measurements
from daisypick_lab.bench import text


def _line(slope, intercept):
    xs = [0.0, 250.0, 500.0, 1000.0]
    return fit.fit(xs, [slope * x + intercept for x in xs])


def _cost(unit, slope):
    line = _line(slope, 0.0)
    return measurements.Cost(
        unit=unit, router=line, agent=line, engine=line, engine_direct=line
    )


def test_rendered_text_contains_the_computed_figures():
    result = measurements.BenchResult(
        seed=0,
        version="1",
        idle=measurements.Idle(seconds=3.0, router=0.01, agent=0.02),
        request=_cost("request", 0.001),
        token=_cost("streamed token", 0.0001),
        first_token=measurements.FirstToken(
            calls=9,
            direct_p50=0.020,
            direct_p95=0.021,
            routed_p50=0.023,
            routed_p95=0.026,
        ),
        memory=measurements.Memory(
            router=_line(50_000.0, 6e7), agent=_line(60_000.0, 7e7)
        ),
    )
    page = text.render(result, datetime.date(2026, 12, 3))
    assert "Measured 2026-12-03 by `make bench`" in page
    assert "added 3.00 ms at p50 and 5.00 ms at p95" in page
    assert "router: a core handles 10,000 tokens per second" in page
    assert "would need 1,452 cores" in page
    (router,) = [r for r in page.splitlines() if r.startswith("router  ")]
    assert router.split()[:4] == ["router", "60.0", "50.0", "0.00"]
