"""What a collector knows of a head.

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
    """What a head has acknowledged and said.

    Attributes:
        incarnation: Incarnation of the head, ``""`` before an answer.
        settled_at: Since when its values can be relied on.
        heard_at: When it answered last.
        agents: Agents that report to it.
        fleet_time: Mean virtual service of its organisations that wait.
        active_share: Sum of the shares of these.
        next_report_at: When it wants the next report.
        sent_sequence: Sequence number of the report that is out.
        sent: Marks of the report that is out.
        acknowledged: Tokens of marks that it has counted.
    """

    def __init__(self) -> None:
        self.incarnation = ""
        self.settled_at = float("inf")
        self.heard_at = float("-inf")
        self.agents = 0
        self.fleet_time = 0.0
        self.active_share = 0.0
        self.next_report_at = float("-inf")
        self.sent_sequence = 0
        self.sent: dict[tally.Key, float] = {}
        self.acknowledged: dict[tally.Key, float] = {}


def mean_time(views: Iterable[HeadView]) -> float | None:
    """Return the mean of heads' times, weighted by share."""
    counting = [view for view in views if view.active_share > 0.0]
    share = sum(view.active_share for view in counting)
    if not share:
        return None
    total = sum(view.fleet_time * view.active_share for view in counting)
    return total / share
