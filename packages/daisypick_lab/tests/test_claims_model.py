from daisypick_core.claims import batcher
from daisypick_core.claims import entry
from daisypick_core.claims import shard
from daisypick_lab import claims_model


def test_write_rate_is_bounded_and_claims_are_batched():
    cost = claims_model.measure(claims_model.Setting(rate=800.0, seconds=2.0))
    interval = batcher.BatcherLimits().write_interval
    spans = cost.rate / shard.HEAD_ENTRIES
    assert cost.writes < 1.1 * (entry.SHARD_COUNT / interval + spans)
    assert cost.claims_per_write > 3.0
    assert cost.p95 < 2 * interval


def test_shard_take_over_reads_each_span_once():
    cost = claims_model.measure_take_over(20.0)
    spans = int(20.0 / entry.SHARD_COUNT * 3600 / shard.HEAD_ENTRIES)
    assert cost.reads == spans + 1
    assert cost.seconds < 0.1
