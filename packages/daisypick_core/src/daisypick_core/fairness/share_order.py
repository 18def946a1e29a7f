"""The order in which a gate assigns free slots to organisations.

Each organisation has a *virtual service*: tokens served divided by its share
(start-time fair queueing; a virtual token counter). A free slot goes to the
organisation with the lowest key of the order policy, which combines the
gate's own service with the values reported by the fleet's heads
(``order_policies``). Without reports, as in a network partition, the order is
fair at this gate only.

An organisation that returns from idle starts at the lowest counter of the
active organisations, so that it neither gains credit nor starves others.
*Idle* means longer than ``IDLE_SECONDS`` without a waiting attempt: queues at
a gate are short, and the queue of a backlogged organisation is often empty
until its router refills it. A lift at that moment would remove credit that it
has earned, most often from organisations with the largest shares.

Examples:
    >>> order = ShareOrder(share_by_organisation={"union": 1.0, "studio": 4.0})
    >>> order.arrive("union", 0.0)
    >>> order.arrive("studio", 0.0)
    >>> order.charge("union", 10.0)
    >>> order.charge("studio", 20.0)
    >>> order.pick(["union", "studio"], 0.0)
    'studio'
"""

from collections.abc import Iterable
from collections.abc import Mapping
import typing

from daisypick_core.fairness import estimators
from daisypick_core.fairness import order_policies
from daisypick_core.fairness import service_account
from daisypick_core.messages import attempt as attempt_message

DEFAULT_SHARE = 1.0
DEFAULT_POLICY = "damped_by_reach"
DEFAULT_ESTIMATOR = "corrected_hint"
DEFAULT_GAIN = 1.0
IDLE_SECONDS = 5.0


class FleetService(typing.NamedTuple):
    """Service of one organisation as reported by the fleet's heads.

    Attributes:
        lag: Virtual service across the fleet minus the fleet's virtual time,
            tokens per share; negative when it is behind.
        included: This gate's served tokens that ``lag`` includes.
        reach: Number of agents at which the organisation waits.
    """

    lag: float
    included: float
    reach: int


class ShareOrder:
    """Orders organisations at one gate by their virtual service."""

    def __init__(
        self,
        *,
        share_by_organisation: Mapping[str, float],
        policy: str = DEFAULT_POLICY,
        gain: float = DEFAULT_GAIN,
        estimator: str = DEFAULT_ESTIMATOR,
    ) -> None:
        self._share_by_organisation = dict(share_by_organisation)
        self._policy = order_policies.by_name[policy]
        self._gain = gain
        self._estimator = estimators.by_name[estimator]()
        self._account_by_organisation: dict[
            str, service_account.ServiceAccount
        ] = {}
        self._run_by_attempt: dict[str, service_account.Run] = {}
        self._active: set[str] = set()
        self._agents = 1
        self._now = 0.0
        self._largest_cost = 0.0

    def set_shares(self, share_by_organisation: Mapping[str, float]) -> None:
        """Set the shares of a new configuration.

        Accounts of organisations that were removed and have no running or
        waiting attempts are dropped, so that memory stays bounded by the
        configuration.
        """
        self._share_by_organisation = dict(share_by_organisation)
        for organisation in list(self._account_by_organisation):
            account = self._account_by_organisation[organisation]
            is_settled = account.charged == account.served
            if (
                organisation not in self._share_by_organisation
                and organisation not in self._active
                and is_settled
            ):
                del self._account_by_organisation[organisation]

    def arrive(self, organisation: str, now: float) -> None:
        """Record that an organisation has attempts waiting here."""
        self._now = max(self._now, now)
        is_new = organisation not in self._account_by_organisation
        account = self._account(organisation)
        idle_since = account.idle_since
        account.idle_since = None
        if is_new or (
            idle_since is not None and now - idle_since > IDLE_SECONDS
        ):
            self._lift(organisation, account)
        self._active.add(organisation)

    def depart(self, organisation: str) -> None:
        """Record that an organisation has no attempts waiting here."""
        self._active.discard(organisation)
        self._account(organisation).idle_since = self._now

    def charge(self, organisation: str, tokens: float) -> None:
        """Charge tokens that do not belong to an attempt."""
        account = self._account(organisation)
        run = account.start(tokens)
        account.settle(run, tokens)

    def start(self, attempt: attempt_message.Attempt) -> None:
        """Charge the estimated cost of an attempt that takes a slot.

        The router's estimate is a hint that the estimator may correct.
        """
        account = self._account(attempt.organisation)
        expected = self._estimator.estimate(
            attempt.service, attempt.organisation, hint=attempt.estimate
        )
        self._run_by_attempt[attempt.attempt_id] = account.start(expected)

    def release(self, attempt: attempt_message.Attempt) -> None:
        """Refund the charge of an attempt that never ran."""
        run = self._run_by_attempt.pop(attempt.attempt_id, None)
        if run is not None:
            self._account(attempt.organisation).release(run)

    def progress(self, attempt: attempt_message.Attempt, tokens: float) -> None:
        """Record the tokens served so far for a streaming attempt."""
        run = self._run_by_attempt.get(attempt.attempt_id)
        if run is not None:
            self._account(attempt.organisation).progress(run, tokens)

    def settle(self, attempt: attempt_message.Attempt, cost: float) -> None:
        """Replace the charge of an attempt that ended by its actual cost."""
        run = self._run_by_attempt.pop(attempt.attempt_id, None)
        if run is not None:
            self._account(attempt.organisation).settle(run, cost)
            self._estimator.learn(
                attempt.service,
                attempt.organisation,
                hint=attempt.estimate,
                cost=cost,
            )
            self._largest_cost = max(self._largest_cost, cost)

    def pick(self, organisations: Iterable[str], now: float) -> str:
        """Return the organisation that is served next."""
        self._now = max(self._now, now)
        return min(organisations, key=lambda o: (self._key(o), o))

    def set_agents(self, agents: int) -> None:
        """Set the number of agents of the service."""
        self._agents = max(1, agents)

    def set_fleet_service(
        self, organisation: str, service: FleetService
    ) -> None:
        """Set the service of an organisation reported by the fleet's heads.

        ``included`` only grows, so a smaller value identifies a response that
        arrives after a newer one and is dropped.
        """
        account = self._account_by_organisation.get(organisation)
        if account is None or service.included < account.included:
            return
        account.included = min(service.included, account.served)
        account.fleet_lag = service.lag
        account.reach = service.reach
        account.lift = 0.0

    @property
    def largest_cost(self) -> float:
        """Cost in tokens of the largest request that ended here."""
        return self._largest_cost

    @property
    def waiting_organisations(self) -> frozenset[str]:
        """Organisations with attempts waiting here."""
        return frozenset(self._active)

    def accounts(
        self,
    ) -> Mapping[str, service_account.ServiceAccount]:
        """Return a read-only view of the accounts by organisation."""
        return self._account_by_organisation

    def _account(self, organisation: str) -> service_account.ServiceAccount:
        account = self._account_by_organisation.get(organisation)
        if account is None:
            account = service_account.ServiceAccount()
            self._account_by_organisation[organisation] = account
        return account

    def _lift(
        self, organisation: str, account: service_account.ServiceAccount
    ) -> None:
        floor = min(
            (self._own_service(other) for other in self._active), default=0.0
        )
        account.lift += max(0.0, floor - self._own_service(organisation))

    def _share(self, organisation: str) -> float:
        return self._share_by_organisation.get(organisation, DEFAULT_SHARE)

    def _own_service(self, organisation: str) -> float:
        """Return the virtual service here that the fleet's does not include."""
        account = self._account(organisation)
        return account.since_report / self._share(organisation) + account.lift

    def _key(self, organisation: str) -> float:
        account = self._account(organisation)
        share = self._share(organisation)
        state = order_policies.OrganisationState(
            own_total=account.charged / share + account.lift,
            since_report=self._own_service(organisation),
            fleet_lag=account.fleet_lag,
            agents=self._agents,
            reach=account.reach or self._agents,
            gain=self._gain,
        )
        return self._policy(state)
