"""Engines that may get work, and their estimates."""

from daisypick_core.scheduling import engine_fleet
from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefill_speed
from daisypick_core.scheduling import server_state


def _state(name, *, slots=8, born=1):
    return server_state.ServerState(
        name=name, slots=slots, cold_until=0.0, born=born, data_centre="a"
    )


def _fleet(*states):
    fleet = engine_fleet.EngineFleet(
        kv_tokens=10_000, speed=prefill_speed.ServiceSpeed()
    )
    fleet.replace_all(states)
    return fleet


def _start(fleet, key, server):
    work = job.Job(
        key=key,
        router="r-1",
        organisation="farm",
        parts=(job.Part(name="talk", tokens=100),),
        prompt_tokens=100,
        output_tokens=10,
        arrived_at=0.0,
        objective_at=0.5,
        deadline_at=8.0,
    )
    return fleet.start(work, server, 0.0, ahead=0.0, saved=0.0)


def test_sums_of_slots_and_requests_follow_changes():
    fleet = _fleet(_state("e-0"), _state("e-1", slots=4))
    _start(fleet, "a", "e-0")
    _start(fleet, "b", "e-0")
    assert (fleet.slots, fleet.running) == (12, 2)
    fleet.put(_state("e-0", slots=6))
    fleet.end("e-0", "a", 0.1)
    fleet.end("e-0", "a", 0.1)
    assert (fleet.slots, fleet.running) == (10, 1)
    fleet.drop("e-0")
    assert (fleet.slots, fleet.running) == (4, 0)


def test_draining_engine_keeps_its_estimate_until_its_requests_end():
    fleet = _fleet(_state("e-0"))
    _start(fleet, "a", "e-0")
    fleet.drop("e-0")
    assert "a" in fleet.find("e-0")
    fleet.end("e-0", "a", 0.1)
    fleet.put(_state("e-0"))
    assert fleet.find("e-0").cache.count_cached([job.Part("talk", 100)]) == 0
    assert (fleet.slots, fleet.running) == (8, 0)


def test_restarted_engine_has_no_requests_and_an_empty_cache():
    fleet = _fleet(_state("e-0"))
    _start(fleet, "a", "e-0")
    fleet.put(_state("e-0", born=2))
    assert (fleet.running, fleet.find("e-0").running) == (0, 0)
    fleet.end("e-0", "a", 0.1)
    assert fleet.running == 0


def test_request_at_an_unknown_server_is_not_counted():
    fleet = _fleet(_state("e-0"))
    assert not _start(fleet, "a", "e-9")
    assert fleet.running == 0
    assert fleet.find("e-9").running == 0
