"""Available and busy engines and spare capacity in a scheduling round."""

from daisypick_core.scheduling import engine_candidates
from daisypick_core.scheduling import engine_fleet
from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefill_speed
from daisypick_core.scheduling import server_state


def _fleet(engines, *, slots=4):
    fleet = engine_fleet.EngineFleet(
        kv_tokens=1_000_000,
        speed=prefill_speed.ServiceSpeed(base=0.01, token_seconds=1e-5),
    )
    for number in range(engines):
        fleet.put(
            server_state.ServerState(
                name=f"e-{number}", slots=slots, cold_until=0.0, born=1
            )
        )
    return fleet


def _start(fleet, key, server, *, prompt=100):
    work = job.Job(
        key=key,
        router="r-1",
        organisation="farm",
        parts=(job.Part(name=key, tokens=prompt),),
        prompt_tokens=prompt,
        output_tokens=10,
        arrived_at=0.0,
        objective_at=0.5,
        deadline_at=8.0,
    )
    fleet.start(work, server, 0.0, ahead=0.0, saved=0.0)


def _make_candidates(fleet):
    candidates = engine_candidates.EngineCandidates(fleet=fleet, now=0.0)
    candidates.add(fleet.state_by_server)
    return candidates


def test_engine_is_available_busy_or_full():
    fleet = _fleet(3, slots=1)
    fleet.put(
        server_state.ServerState(name="e-1", slots=2, cold_until=0.0, born=1)
    )
    _start(fleet, "a", "e-0")
    _start(fleet, "b", "e-1", prompt=20_000)
    candidates = _make_candidates(fleet)
    assert candidates.backlog_by_server == {"e-2": 0.0}
    assert candidates.busy == ["e-1"]
    assert candidates.find_min_wait() == 0.0


def test_ejected_engine_adds_no_capacity():
    fleet = _fleet(2, slots=4)
    for number in range(4):
        _start(fleet, f"a{number}", "e-0")
    assert _make_candidates(fleet).is_spare()
    fleet.outcomes.note_failure("e-1", 0.0, certain=True)
    candidates = _make_candidates(fleet)
    assert not candidates.backlog_by_server
    assert not candidates.is_spare()


def test_candidates_follow_the_starts_of_their_round():
    fleet = _fleet(2, slots=4)
    candidates = _make_candidates(fleet)
    for number in range(6):
        assert candidates.is_spare()
        server = f"e-{number % 2}"
        _start(fleet, f"a{number}", server, prompt=10)
        candidates.note_start(server)
    assert not candidates.is_spare()
    assert candidates.backlog_by_server == {"e-0": 30.0, "e-1": 30.0}
    for number in (6, 7):
        _start(fleet, f"a{number}", f"e-{number % 2}", prompt=10)
        candidates.note_start(f"e-{number % 2}")
    assert not candidates.backlog_by_server
