"""Estimate of the prompt parts in an engine's prefix cache."""

from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefix_cache

SYSTEM = job.Part(name="system", tokens=300)
TALK = job.Part(name="talk", tokens=400)


def test_part_counts_as_prefilled_only_after_its_prefill():
    cache = prefix_cache.PrefixCache(capacity=1000)
    cache.begin([SYSTEM, TALK])
    assert cache.count_cached([SYSTEM, TALK]) == 700
    assert cache.count_prefilled([SYSTEM, TALK]) == 0
    cache.mark_prefilled([SYSTEM, TALK])
    assert cache.count_prefilled([SYSTEM, TALK]) == 700


def test_evicted_part_no_longer_counts_as_prefilled():
    cache = prefix_cache.PrefixCache(capacity=1000)
    for parts in ([SYSTEM], [job.Part(name="long", tokens=900)]):
        cache.begin(parts)
        cache.mark_prefilled(parts)
        cache.end(parts)
    assert cache.count_prefilled([SYSTEM]) == 0


def test_prompt_abandoned_before_its_prefill_does_not_count_as_cached():
    """The only caller with a long prompt disconnects before its first token.

    Counted as cached, the prompt would attract the next request to an engine
    that has to prefill it from the start. Parts that other requests use or
    have prefilled stay.
    """
    cache = prefix_cache.PrefixCache(capacity=1000)
    cache.begin([SYSTEM])
    cache.mark_prefilled([SYSTEM])
    cache.begin([SYSTEM, TALK])
    cache.end([SYSTEM, TALK])
    cache.drop_unprefilled([SYSTEM, TALK])
    assert cache.count_cached([SYSTEM, TALK]) == 300


def test_parts_without_tokens_are_bounded():
    """Guards against parts that no limit of tokens evicts."""
    cache = prefix_cache.PrefixCache(capacity=1000)
    for number in range(2000):
        parts = [job.Part(name=f"{number}", tokens=0)]
        cache.begin(parts)
        cache.mark_prefilled(parts)
        cache.end(parts)
    assert len(cache._tokens_by_part) <= 256
    assert len(cache._prefilled) <= 256
