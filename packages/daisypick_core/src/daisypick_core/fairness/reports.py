"""Messages between agents about service.

There are two batched exchanges of a request and its response: an agent with
the collector of its data centre (``AgentReport``, ``AgentResponse``), and a
collector with a head of the service (``RelayReport``, ``RelayResponse``). Rows
are JSON arrays. Every report holds its sender's incarnation and a sequence
number, so that a late one can be recognised.

Tokens are counted by the engines; ``virtual`` is in tokens per unit of share.
"""

import typing


class AgentRow(typing.NamedTuple):
    """An organisation's service at the reporting agent.

    Attributes:
        organisation: Name of the organisation.
        served: Tokens served since the incarnation started.
        included: The part of them that a head has acknowledged.
        is_waiting: Whether it has attempts waiting at the agent.
    """

    organisation: str
    served: float
    included: float
    is_waiting: bool


class AgentReport(typing.NamedTuple):
    """From an agent to the collector of its data centre.

    Attributes:
        incarnation: Random id of the agent's incarnation.
        sequence: Increases with each report of the incarnation.
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
        included: Served tokens of the reporting agent that it includes.
        reach: Number of agents at which the organisation waits.
    """

    organisation: str
    virtual: float
    included: float
    reach: int


class AgentResponse(typing.NamedTuple):
    """From the collector back to the agent.

    Attributes:
        sequence: Sequence number of the report.
        next_report_in: Seconds after which the next report is due.
        agents: Number of agents of the service that report.
        fleet_time: The fleet's virtual time.
        rows: Organisations of the report that are known to a head.
    """

    sequence: int
    next_report_in: float
    agents: int
    fleet_time: float
    rows: list[FleetRow]


class RelayMark(typing.NamedTuple):
    """A mark of an agent, relayed to a head.

    Attributes:
        agent: Index of the agent's incarnation in the report.
        served: Tokens served since the incarnation started.
        included: The part of them that the head in use has acknowledged;
            ``None`` if this head has acknowledged the mark before.
    """

    agent: int
    served: float
    included: float | None = None


class RelayReport(typing.NamedTuple):
    """From a collector to a head, for the head's organisations only.

    Attributes:
        incarnation: Incarnation of the collector.
        sequence: Increases with each report of the incarnation.
        service: Name of the service.
        head: Incarnation of the intended head, ``""`` at the first contact.
            Another incarnation discards the report.
        agents: Number of agents that report to the collector.
        fleet_time: The fleet's virtual time, ``None`` if not known.
        largest: Tokens of the largest request seen.
        incarnations: Incarnations of the agents that the marks refer to.
        marks_by_organisation: Marks that this head has not acknowledged,
            grouped so that a name is sent once instead of once per agent.
        reach_by_organisation: Number of the collector's agents at which each
            organisation waits.
        virtual_by_organisation: Latest value of the head in use, if that is
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
    """An organisation's service across the fleet, as computed by its head."""

    organisation: str
    virtual: float
    reach: int


class RelayResponse(typing.NamedTuple):
    """From the head back to the collector.

    Attributes:
        head: Incarnation of the head.
        settled_for: Seconds for which its values have been reliable, 0 if
            they are not yet.
        sequence: Sequence number of the report.
        next_report_in: Seconds after which the next report is due.
        agents: Number of agents of the service that report.
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
Response = AgentResponse | RelayResponse
