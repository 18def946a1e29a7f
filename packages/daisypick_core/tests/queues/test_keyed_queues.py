import collections

from daisypick_core.queues import keyed_queues

Item = collections.namedtuple("Item", "name deadline")


def test_stale_heap_entries_are_removed():
    # Items leave long before their deadline. Their heap entries must not
    # accumulate for a minute of deadlines.
    subject = keyed_queues.KeyedQueues()
    for n in range(20_000):
        subject.append("union", str(n), Item(str(n), 60.0 + n))
        subject.pop_first("union")
    assert len(subject._deadlines) <= 1100
    assert subject.next_deadline() is None


def test_keys_are_served_round_robin():
    subject = keyed_queues.KeyedQueues()
    for name in ("a", "b", "c"):
        subject.append(name, name, Item(name, 1.0))
    assert [subject.next_key() for _ in range(4)] == ["a", "b", "c", "a"]
    subject.prepend("a", "z", Item("z", 9.0))
    assert subject.first("a").name == "z"
    assert subject.pop_last("a").name == "a"
    assert [i.name for i in subject.expire(1.0)] == ["b", "c"]
    assert "z" in subject
    assert [i.name for i in subject.clear()] == ["z"]
    assert subject.first("a") is None
