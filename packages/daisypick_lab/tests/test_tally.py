from daisypick_lab import callers
from daisypick_lab import tally


def test_verdict_compares_outcomes_with_reported_runs():
    subject = tally.Tally()
    subject.count("union", "a", callers.CallResult(callers.WRONG, "other"))
    subject.count("union", "b", callers.CallResult(callers.BROKEN, "cut"))
    refused = callers.CallResult(callers.REFUSED, "full", code=2001, ran="no")
    subject.count("union", "c", refused)
    subject.not_run_markers = {"c", "d"}
    verdict = subject.verdict({"c": 1, "plain-e": 2, "f": 2})
    assert verdict.wrong == ("union a: other",)
    assert verdict.broken == ("union b: cut",)
    assert verdict.untrue_refusals == ("c",)
    assert verdict.ran_twice == ("plain-e",)
    assert not verdict.is_clean
    assert subject.of("union").refusals_by_code == {2001: 1}
    assert tally.Tally().verdict({"f": 2}).is_clean


def test_latency_percentiles():
    latency = tally.Latency()
    assert latency.percentile(95) == 0.0
    for milliseconds in range(1, 101):
        latency.record(milliseconds / 1000)
    assert abs(latency.percentile(50) - 0.050) < 0.001
    assert abs(latency.percentile(95) - 0.095) < 0.001
