"""HTTP routes for the distribution of the configuration.

Routes, for processes of the fleet and for operators:

* ``GET /internal/configuration/root?have=TOP``: the root in force, with the
  chunks that a process with the tree ``TOP`` lacks;
* ``GET /internal/configuration/chunk/HASH[,HASH...]``: the chunks with these
  hashes that this process has;
* ``POST /internal/configuration/notice``: exchanges generations and a sample
  of the known members;
* ``POST /internal/configuration/offer``: an accepted root with its chunks,
  from the operators' command line. It distributes a change even if the store
  becomes unavailable right after it accepted the change.
"""

from collections.abc import Callable
import typing
import urllib.parse

from daisypick_core.configuration import distribution
from daisypick_core.configuration import wire
from daisypick_core.membership import directory as member_directory
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.http import peers as peers_module
from daisypick_node.http import routes

PREFIX = "/internal/configuration/"
ROOT = f"{PREFIX}root"
CHUNK = f"{PREFIX}chunk/"
NOTICE = f"{PREFIX}notice"
OFFER = f"{PREFIX}offer"


class Notice(typing.TypedDict):
    """The message that two processes exchange.

    Attributes:
        member: The sender.
        generation: The generation in force at the sender.
        members: Some members known to the sender, with ages in seconds.
    """

    member: member_directory.Member
    generation: int
    members: list[member_directory.GossipEntry]


class ConfigurationRoutes:
    """Handles the routes; the holder makes the decisions.

    Args:
        holder: The configuration of this process.
        receive_notice: Receives the notice of another process.
        make_notice: Returns the notice of this process.
        receive_offer: Receives an operator's offer.
    """

    def __init__(
        self,
        *,
        holder: distribution.ConfigurationHolder,
        receive_notice: Callable[[Notice], None],
        make_notice: Callable[[], Notice],
        receive_offer: Callable[[wire.RootResponse], None],
    ) -> None:
        self._holder = holder
        self._receive_notice = receive_notice
        self._make_notice = make_notice
        self._receive_offer = receive_offer

    def handlers(self) -> routes.Routes:
        """Return the handlers by route."""
        return {
            routes.Route("GET", ROOT): self._serve_root,
            routes.Route("GET", CHUNK): self._serve_chunks,
            routes.Route("POST", NOTICE): self._serve_notice,
            routes.Route("POST", OFFER): self._serve_offer,
        }

    def _serve_root(self, call: routes.Call) -> routes.Reply:
        have = urllib.parse.parse_qs(call.query).get("have", [""])[0]
        return _reply(
            wire.encode_response(self._holder.make_root_response(have))
        )

    def _serve_chunks(self, call: routes.Call) -> routes.Reply:
        hashes = call.path[len(CHUNK) :].split(",")
        found = self._holder.find_chunks(hashes)
        if not found:
            return routes.reply_failure(
                failure_value.Failure(
                    code=codes.NOT_FOUND, reason="chunk: not held here"
                )
            )
        return _reply(wire.encode_chunks(found))

    def _serve_notice(self, call: routes.Call) -> routes.Reply:
        body = call.read_body()
        notice = peers_module.decode(body, Notice)
        if failure_value.is_failure(notice):
            return routes.reply_failure(notice)
        self._receive_notice(notice)
        return routes.reply_json(self._make_notice())

    def _serve_offer(self, call: routes.Call) -> routes.Reply:
        body = call.read_body()
        if failure_value.is_failure(body):
            return routes.reply_failure(body)
        response = wire.decode_response(body)
        if failure_value.is_failure(response):
            return routes.reply_failure(response)
        self._receive_offer(response)
        return routes.reply_json({"generation": self._holder.generation})


def _reply(body: bytes) -> routes.Reply:
    return routes.Reply(
        status=200,
        headers=[
            ("Content-Type", routes.JSON),
            ("Content-Length", str(len(body))),
        ],
        body=body,
    )
