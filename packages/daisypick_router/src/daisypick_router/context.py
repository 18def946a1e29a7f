"""State of one request while it is handled."""

from daisypick_core.quarantine import crash_record
from daisypick_core.quarantine import digest
from daisypick_core.quarantine import part_record
from daisypick_core.scheduling import refusal_reasons
from daisypick_core.serving import fleet_configuration
from daisypick_core.serving import route_table
from daisypick_core.serving import stream_origins
from daisypick_http import bodies
from daisypick_http import messages
from daisypick_platform import request_headers

# Parts of a prompt that are looked at for a crash.
MAX_PARTS = 64
# Memory of a part: decoded here, in the job of the scheduler, and in its
# estimate of an engine.
_PART_BYTES = 640


class Context:
    """One request of a caller.

    Attributes:
        request: The request as received.
        caller_headers: Parsed headers of the request.
        route: Route that matched the request.
        organisation: Organisation that owns its API key; ``None`` on public
            routes.
        service: Service that the route selected.
        pool: The service with the version of its servers that the next try
            may use.
        tests_version: Whether that version is one under test.
        version: Version of the configuration used for this request.
        deadline: When the timeout of the caller or of the route expires.
        objective_at: When the first byte of the response is due by the
            route's latency target.
        tried_servers: Names of the backend servers selected so far, also
            those that could not be reached.
        servers_reached: Number of backend servers that received the request.
        may_have_run: Whether one of them may have run it.
        attempt: Id of the caller's attempt.
        first_event_at: When the first event of a stream was received.
        is_sent: Whether sending to a backend server has started.
        refusal_reason: Why the scheduler refused it, if it did.
        sent_at: When it was last sent to a backend server.
        received_at: When something of the response was last received.
        crashes_when_sent: What was known of its crashes then.
        parts_when_sent: What was known then of the parts of its prompt, by
            their keys.
        went_on: Whether the answer of the last try went on past its first
            event.
        retry_allowed_at: When its next retry was allowed by the budget;
            ``None`` for none that was not sent.
        origin: Service and version of the server that began the stream;
            ``None`` before the first event.
    """

    __slots__ = (
        "_digest",
        "_part_keys",
        "attempt",
        "caller_headers",
        "crashes_when_sent",
        "deadline",
        "first_event_at",
        "is_sent",
        "may_have_run",
        "objective_at",
        "organisation",
        "origin",
        "parts_when_sent",
        "pool",
        "refusal_reason",
        "received_at",
        "request",
        "retry_allowed_at",
        "route",
        "sent_at",
        "tests_version",
        "servers_reached",
        "service",
        "tried_servers",
        "version",
        "went_on",
    )

    def __init__(
        self,
        *,
        request: messages.Request,
        caller_headers: request_headers.CallerHeaders,
        route: route_table.Route,
        organisation: str | None,
        service: fleet_configuration.Service,
        version: int,
    ) -> None:
        self.request = request
        self.caller_headers = caller_headers
        self.route = route
        self.organisation = organisation
        self.service = service
        self.pool = service
        self.tests_version = False
        self.version = version
        self.attempt = caller_headers.attempt
        self.objective_at = request.began_at + route.objective
        timeout = route.timeout
        if caller_headers.timeout is not None:
            timeout = min(timeout, caller_headers.timeout)
        self.deadline = request.began_at + timeout
        self.tried_servers: set[str] = set()
        self.servers_reached = 0
        self.refusal_reason: refusal_reasons.Reason | None = None
        self.may_have_run = False
        self.first_event_at: float | None = None
        self.is_sent = False
        self.sent_at = 0.0
        self.received_at = 0.0
        self.crashes_when_sent = crash_record.NO_RECORD
        self.parts_when_sent: dict[str, part_record.PartRecord] = {}
        self.went_on = False
        self.retry_allowed_at: float | None = None
        self.origin: stream_origins.Origin | None = None
        self._digest: str | None = None
        self._part_keys: tuple[str, ...] | None = None

    @property
    def digest(self) -> str:
        """Identifies the request also when it comes again."""
        if self._digest is None:
            self._digest = digest.find_digest(
                method=self.request.method,
                host=self.caller_headers.host,
                target=self.request.target,
                organisation=self.organisation,
                body=bodies.iterate_blocks(self.request.body),
            )
        return self._digest

    @property
    def decoded_bytes(self) -> int:
        """Memory of the decoded parts of its prompt."""
        return len(self.caller_headers.parts) * _PART_BYTES

    @property
    def shared_parts(self) -> tuple[request_headers.PromptPart, ...]:
        """Parts of its prompt that other requests may have in common with it.

        The last one belongs to the request or its session.
        """
        return self.caller_headers.parts[:-1]

    @property
    def part_keys(self) -> tuple[str, ...]:
        """Keys of the first ``MAX_PARTS`` of these parts."""
        if self._part_keys is None:
            self._part_keys = tuple(
                digest.find_part_key(self.service.name, part.name)
                for part in self.shared_parts[:MAX_PARTS]
            )
        return self._part_keys

    @property
    def stage(self) -> str:
        """Progress of the request: ``waiting``, ``sent`` or ``streaming``."""
        if self.first_event_at is not None:
            return "streaming"
        return "sent" if self.is_sent else "waiting"

    @property
    def may_run_again(self) -> bool:
        """Whether it is safe to run the request again or to resume it."""
        return self.route.may_run_again or self.route.resumable
