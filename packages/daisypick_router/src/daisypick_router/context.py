"""What is known of one request while it is served."""

from daisypick_core.serving import fleet_configuration
from daisypick_core.serving import route_table
from daisypick_http import messages
from daisypick_platform import request_headers


class Context:
    """One request of a caller.

    Attributes:
        request: As it came.
        words: What its headers say.
        route: The route it takes.
        organisation: Whose it is, ``None`` on public routes.
        service: Where it goes.
        version: Version of the configuration that it is served under.
        deadline: When the caller or the route gives up.
        objective_at: When the first byte of the answer should be out.
        tried: Backend servers that it was sent to, or tried to.
        arrivals: How many of them it reached.
        may_have_run: Whether one of them may have run it.
        attempt: Id of the caller's attempt.
        first_event_at: When the first event of a stream came.
        is_sent: Whether it was sent to a backend server.
    """

    __slots__ = (
        "arrivals",
        "attempt",
        "deadline",
        "first_event_at",
        "is_sent",
        "may_have_run",
        "objective_at",
        "organisation",
        "request",
        "route",
        "service",
        "tried",
        "version",
        "words",
    )

    def __init__(
        self,
        *,
        request: messages.Request,
        words: request_headers.CallerWords,
        route: route_table.Route,
        organisation: str | None,
        service: fleet_configuration.Service,
        version: int,
    ) -> None:
        self.request = request
        self.words = words
        self.route = route
        self.organisation = organisation
        self.service = service
        self.version = version
        self.attempt = words.attempt
        self.objective_at = request.began_at + route.objective
        patience = route.timeout
        if words.patience is not None:
            patience = min(patience, words.patience)
        self.deadline = request.began_at + patience
        self.tried: set[str] = set()
        self.arrivals = 0
        self.may_have_run = False
        self.first_event_at: float | None = None
        self.is_sent = False

    @property
    def stage(self) -> str:
        """How far it came: ``waiting``, ``sent`` or ``streaming``."""
        if self.first_event_at is not None:
            return "streaming"
        return "sent" if self.is_sent else "waiting"

    @property
    def may_run_again(self) -> bool:
        """Whether a second run, or one that goes on, does no harm."""
        return self.route.may_run_again or self.route.resumable
