from daisypick_lab import configuration_size


def test_transfer_size_of_a_change_and_memory_of_the_holder():
    size = configuration_size.measure(2_750)
    assert size.change < 6_000 < size.whole * 1e6 / 50
    assert size.memory < 20.0
