"""Tokens charged to and served for one organisation at one gate.

There are two separate counts. *Charged* includes estimates: a request is
charged its estimate when it starts, more when its stream exceeds that, and
the actual cost at its end. *Served* only grows, by tokens that are known to
have been served, so that it can be reported and merged across the fleet. The
two differ only while attempts run.

Examples:
    >>> account = ServiceAccount()
    >>> run = account.start(10.0)
    >>> account.progress(run, 4.0); account.charged, account.served
    (10.0, 4.0)
    >>> account.progress(run, 25.0); account.charged, account.served
    (25.0, 25.0)
    >>> account.settle(run, 30.0); account.charged, account.served
    (30.0, 30.0)
"""


class Run:
    """One running attempt.

    Attributes:
        charged: Tokens charged for it so far.
        served: Tokens served for it so far.
    """

    __slots__ = ("charged", "served")

    def __init__(self, charged: float) -> None:
        self.charged = charged
        self.served = 0.0


class ServiceAccount:
    """Tokens of one organisation at one gate.

    Attributes:
        charged: Tokens charged, estimates of running attempts included.
        served: Tokens served; never decreases.
        included: The part of ``served`` that the fleet's virtual service
            includes, as acknowledged by the heads.
        fleet_lag: Virtual service across the fleet minus the fleet's virtual
            time, tokens per share; 0 before the first response.
        reach: Number of agents at which the organisation waits, 0 if not
            known.
        lift: Virtual service added on return from idle, tokens per share.
        idle_since: Time since which no attempt waits, ``None`` while one
            waits.
    """

    __slots__ = (
        "charged",
        "fleet_lag",
        "idle_since",
        "included",
        "lift",
        "reach",
        "served",
    )

    def __init__(self) -> None:
        self.charged = 0.0
        self.served = 0.0
        self.included = 0.0
        self.fleet_lag = 0.0
        self.reach = 0
        self.lift = 0.0
        self.idle_since: float | None = None

    @property
    def since_report(self) -> float:
        """Tokens charged that the fleet's virtual service lacks."""
        return self.charged - self.included

    def start(self, estimate: float) -> Run:
        """Charge the estimate of an attempt that starts."""
        self.charged += estimate
        return Run(estimate)

    def release(self, run: Run) -> None:
        """Refund the charge of an attempt that never ran."""
        self.charged -= run.charged

    def progress(self, run: Run, tokens: float) -> None:
        """Record that ``tokens`` have been served for an attempt so far.

        A request may cost many times its estimate and stream for minutes. If
        it were charged only at its end, its organisation would obtain further
        slots meanwhile. The charge therefore grows with the stream as soon as
        the estimate is exceeded.
        """
        self._add_served(run, tokens)
        excess = max(0.0, tokens - run.charged)
        run.charged += excess
        self.charged += excess

    def settle(self, run: Run, cost: float) -> None:
        """Replace the charge of an attempt by its actual cost.

        A cost below the streamed tokens is ignored: ``served`` never
        decreases, and both counts must agree at the end.
        """
        true_cost = max(cost, run.served)
        self._add_served(run, true_cost)
        self.charged += true_cost - run.charged

    def _add_served(self, run: Run, tokens: float) -> None:
        gain = max(0.0, tokens - run.served)
        run.served += gain
        self.served += gain
