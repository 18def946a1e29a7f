"""The sources from which routers receive changes."""

import collections
import random

import pytest

from daisypick_core.membership import relay_tree


@pytest.mark.parametrize("routers", [1, 2, 12, 68, 142, 687, 5000])
def test_tree_reaches_every_router_with_bounded_fan_out_and_depth(routers):
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


def test_live_routers_keep_a_live_source_when_half_of_the_tree_fails():
    """Half of 687 routers fail at once; the first and the second stay.

    Every live router still has a live source; if all other ancestors have
    failed, that is the first router.
    """
    order = [f"r-{number}" for number in range(687)]
    rng = random.Random(1)
    alive = {order[0], order[1], *rng.sample(order, 340)}
    for name in alive - {order[0]}:
        sources = relay_tree.find_sources(order, name)
        assert any(source in alive for source in sources)
        assert len(sources) <= 4


def test_second_router_is_the_fallback_for_the_first():
    order = ["a", "b", "c"]
    assert relay_tree.find_sources(order, "b") == ["a"]
    assert relay_tree.find_sources(order, "c") == ["a", "b"]
