"""Which parts of prompts an engine is believed to keep."""

from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefix_cache

SYSTEM = job.Part(name="system", tokens=300)
TALK = job.Part(name="talk", tokens=400)


def test_part_counts_as_read_only_when_it_was_read():
    cache = prefix_cache.PrefixCache(capacity=1000)
    cache.begin([SYSTEM, TALK])
    assert cache.count_cached([SYSTEM, TALK]) == 700
    assert cache.count_prefilled([SYSTEM, TALK]) == 0
    cache.mark_prefilled([SYSTEM, TALK])
    assert cache.count_prefilled([SYSTEM, TALK]) == 700


def test_dropped_part_is_not_read_any_more():
    cache = prefix_cache.PrefixCache(capacity=1000)
    for parts in ([SYSTEM], [job.Part(name="long", tokens=900)]):
        cache.begin(parts)
        cache.mark_prefilled(parts)
        cache.end(parts)
    assert cache.count_prefilled([SYSTEM]) == 0


def test_prompt_that_was_given_up_unread_is_not_believed_to_be_kept():
    """A caller leaves before its first token, alone with its long prompt.

    Believed to be kept, the prompt would draw the next request to an engine
    that has to read it from the start. What somebody else reads or has read
    stays.
    """
    cache = prefix_cache.PrefixCache(capacity=1000)
    cache.begin([SYSTEM])
    cache.mark_prefilled([SYSTEM])
    cache.begin([SYSTEM, TALK])
    cache.end([SYSTEM, TALK])
    cache.drop_unprefilled([SYSTEM, TALK])
    assert cache.count_cached([SYSTEM, TALK]) == 300
