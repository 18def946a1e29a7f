"""Order of first tries and of requests that return after a refusal."""

import pytest
import scarce_load
import test_scheduler

from daisypick_core.scheduling import admission


def _play(seed):
    received = scarce_load.Simulation(seed=seed).run()
    return [received[f"o-{number}"] for number in range(scarce_load.FLOODING)]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_first_tries_go_before_returns_past_their_target(seed, monkeypatch):
    """14 of 30 organisations send 11 times their usual load for 8 s.

    Guards against returns that can only be late and make first tries late too,
    and against returns that are never served.
    """
    after = _play(seed)
    monkeypatch.setattr(admission, "_MAX_DEFERRED", 0)
    before = _play(seed)
    sums = [scarce_load.sum_up(received) for received in (before, after)]
    assert sums[1].in_target > 1.1 * sums[0].in_target
    assert sums[1].served > 0.99 * sums[0].served
    for earlier, later in zip(before, after, strict=True):
        assert later.served > 0.9 * earlier.served


@pytest.mark.parametrize(
    ("refusals", "starts_first"), [(1, "fresh"), (2, "fresh"), (3, "return")]
)
def test_return_is_not_put_behind_for_ever(refusals, starts_first):
    """Guards against a return that is refused until its deadline.

    A request returns to a full engine before a first try of its organisation.
    """
    make_job = test_scheduler._job
    scheduler = test_scheduler._make(servers=1, slots=1)
    scheduler.submit(make_job("a"), 0.0)
    part = test_scheduler.job.Part(name="long talk", tokens=1000)
    for number in range(refusals):
        now = 1.0 * number
        tried = make_job(f"b-{number}", parts=(part,), now=now, deadline_at=9.0)
        scheduler.submit(tried, now)
        assert test_scheduler._refused(scheduler.tick(now + 0.4))
    now = 1.0 * refusals
    back = make_job("return", parts=(part,), now=now, deadline_at=9.02)
    scheduler.submit(back, now)
    scheduler.submit(make_job("fresh", now=now + 0.01), now + 0.01)
    (start,) = scheduler.note_end("a", now + 0.05)
    assert start.key == starts_first
