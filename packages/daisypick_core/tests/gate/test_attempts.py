import pytest

from daisypick_core.gate import attempts


def test_barred_attempt_is_refused_after_many_others_have_settled():
    # A late offer arrives for a withdrawn attempt after thousands of others
    # have settled. A table that drops its oldest entries would run it as new.
    # It may be removed only once its epoch is stale, so that the offer is
    # refused in either case.
    table = attempts.AttemptTable(settled_an_epoch=10)
    table.set_state("x", attempts.BARRED)
    epoch_of_x = table.epoch
    for n in range(1000):
        table.set_state(f"y{n}", attempts.DONE)
        is_known = table.state("x") == attempts.BARRED
        assert is_known or table.is_stale(epoch_of_x)
    assert len(table) <= 10 * (attempts.MAX_EPOCH_AGE + 1)


def test_settled_attempt_is_kept_until_its_offers_are_stale():
    table = attempts.AttemptTable()
    table.begin_epoch()
    table.set_state("x", attempts.DONE)
    for _ in range(attempts.MAX_EPOCH_AGE):
        table.begin_epoch()
        assert table.state("x") == attempts.DONE
        assert not table.is_stale(1)
    table.begin_epoch()
    assert table.state("x") is None
    assert table.is_stale(1)
    assert table.is_stale(table.epoch + 1)


def test_settled_attempt_stays_settled():
    table = attempts.AttemptTable()
    table.set_state("x", attempts.BARRED)
    with pytest.raises(ValueError, match="attempt_id: x is barred for good"):
        table.set_state("x", attempts.RUNNING)


def test_claimed_attempt_is_kept_while_its_key_can_be_queried():
    table = attempts.AttemptTable()
    table.set_state("x", attempts.CLAIMING)
    table.set_state("x", attempts.BARRED)
    for _ in range(attempts.CLAIMED_RETENTION_EPOCHS - 1):
        table.begin_epoch()
    assert table.state("x") == attempts.BARRED
    table.begin_epoch()
    assert (table.state("x"), len(table)) == (None, 0)


def test_claimed_attempts_are_bounded_and_removed_only_when_stale():
    table = attempts.AttemptTable(settled_an_epoch=4)
    for n in range(40):
        epoch = table.epoch
        table.set_state(f"x{n}", attempts.CLAIMING)
        table.set_state(f"x{n}", attempts.DONE)
        assert table.state(f"x{n}") or table.is_stale(epoch)
        assert len(table) <= 5


def test_paused_process_begins_only_one_epoch():
    table = attempts.AttemptTable()
    table.advance(0.0)
    table.advance(attempts.EPOCH_SECONDS - 1)
    assert table.epoch == 0
    table.advance(100 * attempts.EPOCH_SECONDS)
    assert table.epoch == 1
