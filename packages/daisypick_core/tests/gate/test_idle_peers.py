from daisypick_core.gate import idle_peers
from daisypick_core.messages import load as load_message

LOAD = load_message.Load(
    incarnation="b1",
    epoch=0,
    generation=1,
    limit=2,
    running=0,
    waiting=0,
    is_draining=False,
)


def test_each_free_slot_is_assigned_once():
    # An idle agent has two free slots. A peer with many waiting attempts must
    # redirect only two of them.
    subject = idle_peers.IdlePeers()
    subject.note("b", LOAD, 0.0)
    assert [subject.take(0.1) is not None for _ in range(3)] == [
        True,
        True,
        False,
    ]


def test_outdated_reports_and_draining_peers_are_not_used():
    subject = idle_peers.IdlePeers()
    subject.note("b", LOAD, 0.0)
    assert subject.take(5.0) is None
    subject.note("b", LOAD, 6.0)
    subject.note("b", LOAD._replace(is_draining=True), 6.1)
    assert subject.take(6.2) is None


def test_number_of_stored_peers_is_bounded():
    subject = idle_peers.IdlePeers()
    for n in range(1000):
        subject.note(str(n), LOAD, 0.0)
    assert len(subject) == 64
    assert subject.take(0.0)[0] == "999"
