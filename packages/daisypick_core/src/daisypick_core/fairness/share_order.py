"""The order in which a gate gives free slots to organisations.

Each organisation has a *virtual service*: tokens served divided by its share
(start-time fair queueing; a virtual token counter). A free slot goes to the
lowest key of the order policy, which combines the gate's own service with
what the fleet's heads report (``order_policies``). Without reports the order
is fair at this gate alone; that is also what is left in a partition.

An organisation that comes back from idle starts at the lowest active
counter, so that it neither gains credit nor starves anybody. *Idle* means
longer than ``IDLE_SECONDS`` without a waiting attempt: queues at a gate are
short, and a backlogged organisation's queue is often empty for the moment
that its router needs to refill it. Lifting it then would take the credit
that it has earned, most often from those with the largest shares.

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
    """What the fleet's heads know of one organisation.

    Attributes:
        lag: Virtual service across the fleet less the fleet's virtual time,
            tokens per share; negative when it is behind.
        included: This gate's served tokens that ``lag`` contains.
        reach: Agents at which the organisation waits.
    """

    lag: float
    included: float
    reach: int


class ShareOrder:
    """Virtual service by organisation at one gate."""

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
        """Take the shares of a new configuration.

        Accounts of organisations that are gone and have nothing running or
        waiting are dropped, so that memory follows the configuration.
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
        """Note that an organisation has work waiting here."""
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
        """Note that an organisation has no work waiting here."""
        self._active.discard(organisation)
        self._account(organisation).idle_since = self._now

    def charge(self, organisation: str, tokens: float) -> None:
        """Charge tokens that no attempt stands for."""
        account = self._account(organisation)
        run = account.start(tokens)
        account.settle(run, tokens)

    def start(self, attempt: attempt_message.Attempt) -> None:
        """Charge the expected cost of an attempt that takes a slot.

        The router's estimate is a hint; what it is worth is learned here.
        """
        account = self._account(attempt.organisation)
        expected = self._estimator.estimate(
            attempt.service, attempt.organisation, hint=attempt.estimate
        )
        self._run_by_attempt[attempt.attempt_id] = account.start(expected)

    def release(self, attempt: attempt_message.Attempt) -> None:
        """Give back the charge of an attempt that never ran."""
        run = self._run_by_attempt.pop(attempt.attempt_id, None)
        if run is not None:
            self._account(attempt.organisation).release(run)

    def progress(self, attempt: attempt_message.Attempt, tokens: float) -> None:
        """Note tokens served so far for an attempt that streams."""
        run = self._run_by_attempt.get(attempt.attempt_id)
        if run is not None:
            self._account(attempt.organisation).progress(run, tokens)

    def settle(self, attempt: attempt_message.Attempt, cost: float) -> None:
        """Replace the charge of an attempt that ended by its true cost."""
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
        """Take the number of agents of the service."""
        self._agents = max(1, agents)

    def hear(self, organisation: str, service: FleetService) -> None:
        """Take what the fleet's heads know of an organisation.

        ``included`` only grows, so an answer that was overtaken by a later
        one is told by it and dropped.
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
        """Tokens of the largest request that ended here."""
        return self._largest_cost

    @property
    def waiting_organisations(self) -> frozenset[str]:
        """Organisations with work waiting here."""
        return frozenset(self._active)

    def accounts(
        self,
    ) -> Mapping[str, service_account.ServiceAccount]:
        """Return the accounts by organisation, to be read only."""
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
        floor = min((self._own(other) for other in self._active), default=0.0)
        account.lift += max(0.0, floor - self._own(organisation))

    def _share(self, organisation: str) -> float:
        return self._share_by_organisation.get(organisation, DEFAULT_SHARE)

    def _own(self, organisation: str) -> float:
        """Return the virtual service here since the last report."""
        account = self._account(organisation)
        return account.since_report / self._share(organisation) + account.lift

    def _key(self, organisation: str) -> float:
        account = self._account(organisation)
        share = self._share(organisation)
        state = order_policies.OrganisationState(
            own_total=account.charged / share + account.lift,
            since_report=self._own(organisation),
            fleet_lag=account.fleet_lag,
            agents=self._agents,
            reach=account.reach or self._agents,
            gain=self._gain,
        )
        return self._policy(state)
