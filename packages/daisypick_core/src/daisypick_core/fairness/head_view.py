"""A collector's state of a head.

Examples:
    >>> one, other = HeadView(), HeadView()
    >>> mean_time([one, other]) is None
    True
    >>> one.fleet_time, one.active_share = 10.0, 3.0
    >>> other.fleet_time, other.active_share = 30.0, 1.0
    >>> mean_time([one, other])
    15.0
"""

from collections.abc import Iterable

from daisypick_core.fairness import tally


class HeadView:
    """The latest response of a head and the marks it has acknowledged.

    Attributes:
        incarnation: Incarnation of the head, ``""`` before a response.
        settled_at: Time since which its values are reliable.
        received_at: Time of its latest response.
        agents: Number of agents whose reports reach it.
        fleet_time: Mean virtual service of its organisations that wait.
        active_share: Sum of the shares of these organisations.
        next_report_at: Time at which the next report is due.
        sent_sequence: Sequence number of the latest report sent.
        sent: Served tokens by mark in the latest report sent.
        acknowledged: Served tokens by mark that the head has counted.
    """

    def __init__(self) -> None:
        self.incarnation = ""
        self.settled_at = float("inf")
        self.received_at = float("-inf")
        self.agents = 0
        self.fleet_time = 0.0
        self.active_share = 0.0
        self.next_report_at = float("-inf")
        self.sent_sequence = 0
        self.sent: dict[tally.Key, float] = {}
        self.acknowledged: dict[tally.Key, float] = {}


def mean_time(views: Iterable[HeadView]) -> float | None:
    """Return the mean of the heads' virtual times, weighted by share."""
    counting = [view for view in views if view.active_share > 0.0]
    share = sum(view.active_share for view in counting)
    if not share:
        return None
    total = sum(view.fleet_time * view.active_share for view in counting)
    return total / share
