"""Calls to running processes, authorised by the operators' key."""

from collections.abc import Iterable
from collections.abc import Mapping
import typing
import urllib.parse

import gevent.pool
import msgspec

from daisypick_core.configuration import model
from daisypick_core.configuration import wire
from daisypick_core.results import failure as failure_value
from daisypick_node import configuration_routes
from daisypick_node import process as process_module
from daisypick_node.http import peers as peers_module

TIMEOUT_SECONDS = 3.0
MAX_CONCURRENT_CALLS = 32
NOTIFIED_PER_DATA_CENTRE = 2

Json = dict[str, typing.Any]


class _Generation(typing.TypedDict):
    generation: int


class Processes:
    """Client for running processes, by address."""

    def __init__(self, *, operator_key: str, ca_file: str | None) -> None:
        self._peers = peers_module.Peers(
            fleet_key=operator_key, timeout=TIMEOUT_SECONDS, ca_file=ca_file
        )

    def dump(self, address: str) -> Json | failure_value.Failure:
        """Return the dump of a process's state."""
        return self._get(address, process_module.DUMP)

    def explain(
        self, address: str, request_id: str
    ) -> Json | failure_value.Failure:
        """Return the events that a process recorded for a request."""
        name = urllib.parse.quote(request_id, safe="")
        return self._get(address, process_module.EXPLAIN + name)

    def generation(self, address: str) -> int | failure_value.Failure:
        """Return the generation in force at a process."""
        data = self._peers.call(address, "GET", configuration_routes.ROOT)
        if failure_value.is_failure(data):
            return data
        answer = wire.decode_response(data)
        if failure_value.is_failure(answer):
            return answer
        return answer.root.generation if answer.root else 0

    def offer(
        self, address: str, answer: wire.RootResponse
    ) -> int | failure_value.Failure:
        """Offer an accepted root; return the generation then in force."""
        message = msgspec.Raw(wire.encode_response(answer))
        data = self._peers.call(
            address, "POST", configuration_routes.OFFER, message
        )
        reply = peers_module.decode(data, _Generation)
        if failure_value.is_failure(reply):
            return reply
        return reply["generation"]

    def call_each(
        self,
        call: typing.Callable[[str], typing.Any],
        addresses: Iterable[str],
    ) -> dict[str, typing.Any]:
        """Call many processes concurrently; return the outcomes by address."""
        pool = gevent.pool.Pool(MAX_CONCURRENT_CALLS)
        addresses = list(addresses)
        return dict(zip(addresses, pool.map(call, addresses), strict=True))

    def _get(self, address: str, path: str) -> Json | failure_value.Failure:
        return peers_module.decode(
            self._peers.call(address, "GET", path), dict[str, typing.Any]
        )


def choose_agents(
    configuration: model.Configuration, per_data_centre: int
) -> list[str]:
    """Return the addresses of up to that many agents per data centre."""
    chosen: dict[str, list[str]] = {}
    for server in configuration.backend_servers_by_name.values():
        addresses = chosen.setdefault(server.data_centre, [])
        if len(addresses) < per_data_centre:
            addresses.append(server.agent)
    return [address for addresses in chosen.values() for address in addresses]


def highest_generation(generation_by_address: Mapping[str, object]) -> int:
    """Return the highest generation among outcomes, or 0 if all failed.

    Examples:
        >>> highest_generation({"10.0.0.1:80": 3, "10.0.0.2:80": None})
        3
    """
    known = [
        value for value in generation_by_address.values() if type(value) is int
    ]
    return max(known, default=0)
