"""Faults that the answers of a version show, and those of others."""

import random

import pytest

from daisypick_core.rollout import evidence as evidences
from daisypick_core.rollout import verdict

_SERVERS = 10


def _answer(rng, *, is_target, failing=0.0, slowness=1.0, route="ask", server):
    return evidences.Answer(
        route=route,
        server=f"{'new' if is_target else 'old'}-{server}",
        is_target=is_target,
        failed=rng.random() < failing,
        first=0.1 * rng.lognormvariate(0.0, 0.5) * slowness,
        pace=0.05 * rng.lognormvariate(0.0, 0.3) * slowness,
    )


def _collect(*, failing=0.0, slowness=1.0, grey=0, route="ask", seed=1):
    """Return evidence of a version; ``grey`` of its servers fail by halves."""
    rng = random.Random(seed)
    evidence = evidences.Evidence()
    for number in range(3000):
        server = number % _SERVERS
        evidence.add(
            _answer(
                rng,
                is_target=False,
                failing=0.5 if server < grey else 0.01,
                server=server,
            )
        )
    for number in range(300):
        server = number % _SERVERS
        evidence.add(
            _answer(
                rng,
                is_target=True,
                failing=0.5 if server < grey else 0.01 + failing,
                slowness=slowness,
                server=server,
            )
        )
    return evidence


def _find_fault(evidence):
    return verdict.find_failures(
        reference=evidence, target=evidence
    ) or verdict.find_slowness([evidence])


@pytest.mark.parametrize("seed", range(20))
def test_sound_version_shows_no_fault(seed):
    """Guards against a good version that is rolled back by chance."""
    assert _find_fault(_collect(seed=seed)) is None


@pytest.mark.parametrize("seed", range(20))
def test_failing_servers_of_both_versions_are_not_the_versions_fault(seed):
    """Guards against a good version that pays for faulty servers."""
    assert _find_fault(_collect(grey=3, seed=seed)) is None


def test_failing_version_is_found_beside_failing_servers():
    """Guards against failures that hide behind those of other servers."""
    fault = _find_fault(_collect(failing=0.3, grey=3))
    assert fault.sign == "failures"


@pytest.mark.parametrize("slowness", [3.0, 8.0])
def test_slow_version_is_found(slowness):
    """Guards against a slow version that answers all requests."""
    assert _find_fault(_collect(slowness=slowness)).sign != "failures"


def test_somewhat_slower_version_is_no_fault():
    """Guards against rejecting new servers that have nothing cached yet."""
    assert _find_fault(_collect(slowness=1.25)) is None


def test_errors_of_a_route_are_not_the_versions():
    """Guards against comparing a route with errors with one that has none."""
    rng = random.Random(1)
    evidence = evidences.Evidence()
    for number in range(1000):
        evidence.add(
            _answer(
                rng,
                is_target=number % 10 == 0,
                failing=0.14,
                route="look",
                server=number % 7,
            )
        )
    assert _find_fault(evidence) is None


def test_no_answers_show_nothing():
    assert _find_fault(evidences.Evidence()) is None


def test_load_after_the_move_is_not_the_versions_fault():
    """Guards against a good version that is blamed for a burst of requests."""
    found = verdict.find_later_slowness(
        reference=_collect(), target=_collect(slowness=2.5)
    )
    assert found is None


def test_version_that_turns_much_slower_after_the_move_is_found():
    """Guards against a version that is slow under full load only."""
    found = verdict.find_later_slowness(
        reference=_collect(), target=_collect(slowness=16.0)
    )
    assert found is not None


def test_moment_in_which_all_servers_are_slow_is_not_the_versions_fault():
    """Guards against times that are compared with those of another moment."""
    slices, everything = [], evidences.Evidence()
    for slowness, targets, count in ((1.0, 20, 4000), (3.0, 200, 600)):
        rng = random.Random(1)
        slices.append(evidences.Evidence())
        for number in range(count):
            answer = _answer(
                rng,
                is_target=number < targets,
                slowness=slowness,
                server=number % _SERVERS,
            )
            slices[-1].add(answer)
            everything.add(answer)
    assert verdict.find_slowness(slices) is None
    assert verdict.find_slowness([everything]) is not None


def test_fault_on_the_few_busy_servers_of_a_probe_is_found():
    """Guards against taking the busy servers for faulty ones.

    The median server shows nothing, as those outside the probe are counted
    with the one request that was reported late.
    """
    evidence = evidences.Evidence()
    rng = random.Random(1)
    for number in range(3000):
        evidence.add(
            _answer(rng, is_target=False, failing=0.01, server=number % 21)
        )
    for number in range(350):
        server = number % 9 if number < 338 else 9 + number % 12
        failing = 0.2 if server < 9 else 0.01
        evidence.add(
            _answer(rng, is_target=True, failing=failing, server=server)
        )
    assert _find_fault(evidence).sign == "failures"
