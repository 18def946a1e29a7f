"""Whom routers hear changes from."""

import collections
import random

import pytest

from daisypick_core.membership import relay_tree


@pytest.mark.parametrize("routers", [1, 2, 12, 68, 142, 687, 5000])
def test_every_router_hears_from_the_first_over_few_others(routers):
    """Guards against one router that sends each change to the whole fleet."""
    order = [f"r-{number}" for number in range(routers)]
    children = collections.Counter()
    for name in order[1:]:
        source = relay_tree.find_sources(order, name)[0]
        children[source] += 1
    assert max(children.values(), default=0) <= relay_tree.FAN_OUT
    assert sum(children.values()) == routers - 1
    depth = {order[0]: 0}
    for name in order[1:]:
        depth[name] = depth[relay_tree.find_sources(order, name)[0]] + 1
    assert max(depth.values()) <= 3
    assert relay_tree.find_sources(order, order[0]) == []


def test_half_of_the_tree_gone_leaves_most_with_a_source():
    """Half of 687 routers die at once, the first and the second stay.

    Whoever lives can follow one of its sources; without the others above it
    that is the first of all.
    """
    order = [f"r-{number}" for number in range(687)]
    rng = random.Random(1)
    alive = {order[0], order[1], *rng.sample(order, 340)}
    for name in alive - {order[0]}:
        sources = relay_tree.find_sources(order, name)
        assert any(source in alive for source in sources)
        assert len(sources) <= 4


def test_second_router_takes_the_place_of_the_first():
    order = ["a", "b", "c"]
    assert relay_tree.find_sources(order, "b") == ["a"]
    assert relay_tree.find_sources(order, "c") == ["a", "b"]
