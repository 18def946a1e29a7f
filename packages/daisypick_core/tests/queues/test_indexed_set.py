"""A set with random choice."""

from daisypick_core.queues import indexed_set


def test_last_item_is_removed_by_an_equal_object():
    """Guards against an IndexError when the given object is only equal."""
    names = indexed_set.IndexedSet()
    names.add("engine-1")
    names.add("engine-2")
    assert names.discard("".join(["engine-", "2"]))
    assert names.items == ["engine-1"]
    assert names.discard("".join(["engine-", "1"]))
    assert names.items == []
