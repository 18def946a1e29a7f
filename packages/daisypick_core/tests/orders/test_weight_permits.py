import random

from daisypick_core.orders import actions
from daisypick_core.orders import weight_permits
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

SIZE = 100
RATION = weight_permits.Ration(bytes_per_second=20.0, permits=4)
LOST = failure_value.Failure(code=codes.PLATFORM_ANSWER_LOST, reason="lost")
CONFLICT = failure_value.Failure(code=codes.PLATFORM_CONFLICT, reason="raced")


def run_cold_agents(count, seconds, *, lost=0.0, seed=1):
    """Let agents load at once; return the times of their loads."""
    rng = random.Random(seed)
    table, version = None, 0
    loads = []
    agents = [
        weight_permits.WeightPermits(
            holder=f"a{n}", ration=RATION, rng=random.Random(f"{seed} {n}")
        )
        for n in range(count)
    ]
    for agent in agents:
        agent.want("fir", SIZE)
    for tenth in range(seconds * 10):
        now = tenth / 10
        for agent in agents:
            due = agent.tick(now)
            while due:
                action = due.pop()
                if isinstance(action, actions.ReadPermits):
                    known = str(version) if table is not None else None
                    due += agent.read(table, known, now)
                elif isinstance(action, actions.FetchWeights):
                    loads.append(now)
                    agent.fetched(SIZE, now)
                elif action.if_version != (str(version) if version else None):
                    agent.failed(CONFLICT, now)
                else:
                    table, version = action.permits, version + 1
                    if rng.random() < lost:
                        agent.failed(LOST, now)
                    else:
                        due += agent.written(now)
    return loads


def test_cold_loads_stay_under_the_rate():
    # A data centre returns and 24 engines are cold together. Bytes begun in
    # any span must stay under the rate, but for one load a permit.
    loads = run_cold_agents(24, 400)
    assert len(loads) == 24
    for begin in loads:
        for end in loads:
            if end >= begin:
                started = sum(begin <= at <= end for at in loads) * SIZE
                allowed = RATION.bytes_per_second * (end - begin)
                assert started <= allowed + RATION.permits * SIZE
    assert max(loads) < 2 * 24 * SIZE / RATION.bytes_per_second


def test_lost_answers_waste_no_permit():
    # A third of the writes take effect with their answer lost. The agent
    # finds its permit when it reads, and loads under it.
    loads = run_cold_agents(12, 400, lost=0.33)
    assert len(loads) == 12
    assert max(loads) < 2 * 12 * SIZE / RATION.bytes_per_second


def test_weight_store_says_when_to_come_back():
    subject = weight_permits.WeightPermits(
        holder="a", ration=RATION, rng=random.Random(1)
    )
    subject.want("fir", SIZE)
    assert subject.tick(0.0) == [actions.ReadPermits()]
    (write,) = subject.read(None, None, 0.0)
    assert write.permits.count(actions.Permit()) == 3
    assert subject.written(0.1) == [actions.FetchWeights(model="fir")]
    subject.fetched(
        failure_value.Failure(
            code=codes.PLATFORM_UNAVAILABLE, reason="rate", retry_after=30.0
        ),
        0.2,
    )
    assert subject.tick(30.0) == []
    assert subject.tick(46.0) == [actions.FetchWeights(model="fir")]
    subject.fetched(SIZE, 47.0)
    assert subject.state == weight_permits.IDLE
