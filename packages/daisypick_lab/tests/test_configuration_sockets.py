import gevent

from daisypick_lab import configuration_sockets


def test_followers_receive_a_change_over_sockets():
    fleet = configuration_sockets.Fleet(count=4)
    try:
        fleet.change(7)
        generations = {}
        with gevent.Timeout(20):
            while set(generations.values()) != {2}:
                gevent.sleep(0.01)
                generations = fleet.generations()
        assert len(generations) == 4
    finally:
        fleet.stop()
