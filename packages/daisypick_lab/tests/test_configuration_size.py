from daisypick_lab import configuration_size


def test_change_moves_a_small_part_and_the_holder_fits_a_node():
    size = configuration_size.measure(2_750)
    assert size.change < 6_000 < size.whole * 1e6 / 50
    assert size.memory < 20.0
