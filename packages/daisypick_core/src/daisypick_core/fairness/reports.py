"""What agents tell each other about service.

Two exchanges, each a request with its answer and batched: an agent with the
collector of its data centre (``AgentReport``, ``AgentAnswer``), a collector
with a head of the service (``RelayReport``, ``RelayAnswer``). Rows are JSON
arrays. Every message names the incarnation that made it and a sequence
number, so that a late one is told from a newer one.

Tokens are counts of the engines; ``virtual`` is tokens per unit of share.
"""

import typing


class AgentRow(typing.NamedTuple):
    """An organisation's service at the reporting agent.

    Attributes:
        organisation: Name of the organisation.
        served: Tokens served since the incarnation started.
        included: The part of them that a head has acknowledged.
        is_waiting: Whether it has work waiting at the agent.
    """

    organisation: str
    served: float
    included: float
    is_waiting: bool


class AgentReport(typing.NamedTuple):
    """From an agent to the collector of its data centre.

    Attributes:
        incarnation: Random id of this start of the agent.
        sequence: Rises with each report of the incarnation.
        service: Name of the service that the agent's server serves.
        largest: Tokens of the largest request seen.
        rows: Organisations that wait, or whose service has grown.
    """

    incarnation: str
    sequence: int
    service: str
    largest: float
    rows: list[AgentRow]


class FleetRow(typing.NamedTuple):
    """An organisation's service across the fleet.

    Attributes:
        organisation: Name of the organisation.
        virtual: Virtual service across the fleet.
        included: The reporting agent's served tokens that it contains.
        reach: Agents at which the organisation waits.
    """

    organisation: str
    virtual: float
    included: float
    reach: int


class AgentAnswer(typing.NamedTuple):
    """From the collector back to the agent.

    Attributes:
        sequence: Sequence number of the report that is answered.
        next_report_in: Seconds after which the next report is welcome.
        agents: Agents of the service that report.
        fleet_time: The fleet's virtual time.
        rows: Organisations of the report that a head knows.
    """

    sequence: int
    next_report_in: float
    agents: int
    fleet_time: float
    rows: list[FleetRow]


class RelayMark(typing.NamedTuple):
    """A mark of an agent on its way to a head.

    Attributes:
        agent: Index of the agent's incarnation in the report.
        served: Tokens served since the incarnation started.
        included: The part of them that the head in use has acknowledged;
            ``None`` if this head has seen the mark before.
    """

    agent: int
    served: float
    included: float | None = None


class RelayReport(typing.NamedTuple):
    """From a collector to a head, for the head's organisations only.

    Attributes:
        incarnation: Incarnation of the collector.
        sequence: Rises with each report of the incarnation.
        service: Name of the service.
        head: Incarnation of the head that it is meant for, ``""`` at the
            first contact. Another incarnation takes nothing in.
        agents: Agents that report to the collector.
        fleet_time: The fleet's virtual time, ``None`` if not known.
        largest: Tokens of the largest request seen.
        incarnations: Agents that have served what follows.
        marks_by_organisation: Marks that this head has not acknowledged.
            Grouped so, a name is sent once and not once an agent.
        reach_by_organisation: At how many of its agents each waits.
        virtual_by_organisation: What the head in use last said, if that is
            the organisation's other head.
    """

    incarnation: str
    sequence: int
    service: str
    head: str
    agents: int
    fleet_time: float | None
    largest: float
    incarnations: list[str]
    marks_by_organisation: dict[str, list[RelayMark]]
    reach_by_organisation: dict[str, int]
    virtual_by_organisation: dict[str, float]


class HeadRow(typing.NamedTuple):
    """An organisation's service across the fleet, as its head knows it."""

    organisation: str
    virtual: float
    reach: int


class RelayAnswer(typing.NamedTuple):
    """From the head back to the collector.

    Attributes:
        head: Incarnation of the head.
        settled_for: Seconds for which its values could be relied on, 0 if
            they cannot yet.
        sequence: Sequence number of the report that is answered.
        next_report_in: Seconds after which the next report is welcome.
        agents: Agents of the service that report.
        fleet_time: Mean virtual service of the head's organisations that
            wait, weighted by share.
        active_share: Sum of the shares of those organisations.
        rows: Organisations of the report.
    """

    head: str
    settled_for: float
    sequence: int
    next_report_in: float
    agents: int
    fleet_time: float
    active_share: float
    rows: list[HeadRow]


Report = AgentReport | RelayReport
Answer = AgentAnswer | RelayAnswer
