"""One control exchange over HTTP: processor time of both ends together."""

from daisypick_lab.capacity import slopes
from daisypick_node.http import keys as keys_module
from daisypick_node.http import peers as peers_module
from daisypick_node.http import routes
from daisypick_node.http import server as server_module

_PATH = "/internal/echo"
_CALLS = 300


def _echo(call: routes.Call) -> routes.Reply:
    body = call.read_body()
    return routes.Reply(status=200, headers=[], body=bytes(body))


@slopes.register(
    "exchange_cpu",
    unit="seconds an exchange, both ends",
    against="bytes of the message",
    points=(100, 2_000, 8_000, 32_000),
)
def exchange_cpu(size: int) -> float:
    """Processor time of a JSON exchange whose answer is as large."""
    server = server_module.Server(
        listen="127.0.0.1:0",
        routes={routes.Route("POST", _PATH): _echo},
        keys=keys_module.Keys(fleet=("fleet-key",), operator=()),
    )
    server.start()
    peers = peers_module.Peers(fleet_key="fleet-key", timeout=5.0)
    message = "x" * size

    def _call() -> None:
        for _ in range(_CALLS):
            peers.call(server.address, "POST", _PATH, message)

    _call()
    seconds = slopes.cpu_seconds(_call, count=_CALLS)
    peers.close()
    server.stop(timeout=0)
    return seconds
