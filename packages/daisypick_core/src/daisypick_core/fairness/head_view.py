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

import collections
from collections.abc import Iterable

from daisypick_core.fairness import tally

# Lost and late reports, and collectors that suspect a head for ten seconds,
# make the numbers differ for some responses. Changing heads then does harm.
COMPARED_ANSWERS = 12


class HeadView:
    """The latest response of a head and the marks it has acknowledged.

    Attributes:
        incarnation: Incarnation of the head, ``""`` before a response.
        settled_at: Time since which its values are reliable.
        received_at: Time of its latest response.
        agents: Number of agents whose reports reach it.
        is_behind: Whether reports of more agents reach another head.
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
        self.is_behind = False
        self.fleet_time = 0.0
        self.active_share = 0.0
        self.next_report_at = float("-inf")
        self.sent_sequence = 0
        self.sent: dict[tally.Key, float] = {}
        self.acknowledged: dict[tally.Key, float] = {}
        self._recent_agents: collections.deque[int] = collections.deque(
            maxlen=COMPARED_ANSWERS
        )

    def record_agents(self, agents: int) -> None:
        """Record the number of agents in a response."""
        self.agents = agents
        self._recent_agents.append(agents)


def compare_agents(views: Iterable[HeadView]) -> None:
    """Set which heads the reports of fewer agents reach than another's.

    Every head receives the reports of all collectors. One that receives fewer,
    for example because others cannot connect to it, lacks growth. The numbers
    also differ while agents start or reports are lost, hence a head is behind
    only if each recent number of another exceeds each of its own.
    """
    compared = [
        view for view in views if len(view._recent_agents) == COMPARED_ANSWERS
    ]
    exceeded = max((min(view._recent_agents) for view in compared), default=0)
    for view in compared:
        view.is_behind = max(view._recent_agents) < exceeded


def mean_time(views: Iterable[HeadView]) -> float | None:
    """Return the mean of the heads' virtual times, weighted by share."""
    counting = [view for view in views if view.active_share > 0.0]
    share = sum(view.active_share for view in counting)
    if not share:
        return None
    total = sum(view.fleet_time * view.active_share for view in counting)
    return total / share
