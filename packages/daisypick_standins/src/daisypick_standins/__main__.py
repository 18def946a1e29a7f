"""Run one stand-in as its own process.

Usage: ``python -m daisypick_standins platform --port 0 [--NAME VALUE ...]``.
The first line on standard output is ``listening on HOST:PORT``; SIGTERM and
SIGINT stop the process.
"""

import argparse
from collections.abc import Callable
import signal
import sys
import typing

import gevent
from gevent import event

from daisypick_standins.engine import server as engine_server
from daisypick_standins.engine import settings as engine_settings
from daisypick_standins.plain import server as plain_server
from daisypick_standins.platform import server as platform_server


class StandIn(typing.Protocol):
    """Interface of all stand-ins."""

    @property
    def address(self) -> str:
        """``host:port``, known once the stand-in has started."""
        ...

    def start(self) -> None:
        """Start listening."""
        ...

    def stop(self) -> None:
        """Stop listening."""
        ...


Builder = Callable[[argparse.Namespace], StandIn]


def _add_platform(parser: argparse.ArgumentParser) -> Builder:
    parser.add_argument("--vm-lag", type=float, default=0.0)

    def _build(options: argparse.Namespace) -> StandIn:
        return platform_server.Platform(
            port=options.port,
            vm_lag=options.vm_lag,
        )

    return _build


def _add_engine(parser: argparse.ArgumentParser) -> Builder:
    defaults = engine_settings.EngineSettings()._asdict()
    for name, value in defaults.items():
        kind = _read_bool if isinstance(value, bool) else type(value)
        option = "--" + name.replace("_", "-")
        parser.add_argument(option, type=kind, default=value)

    def _build(options: argparse.Namespace) -> StandIn:
        chosen = {name: getattr(options, name) for name in defaults}
        return engine_server.Engine(
            port=options.port,
            settings=engine_settings.EngineSettings(**chosen),
        )

    return _build


def _read_bool(text: str) -> bool:
    return text.lower() in ("1", "true", "yes")


def _add_plain(parser: argparse.ArgumentParser) -> Builder:
    parser.add_argument("--delay", type=float, default=0.0)

    def _build(options: argparse.Namespace) -> StandIn:
        return plain_server.PlainService(port=options.port, delay=options.delay)

    return _build


_SETUP_BY_NAME = {
    "platform": _add_platform,
    "engine": _add_engine,
    "plain": _add_plain,
}


def main(arguments: list[str]) -> int:
    """Run the stand-in that the arguments name until a signal stops it."""
    parser = argparse.ArgumentParser(prog="daisypick_standins")
    kinds = parser.add_subparsers(dest="kind", required=True)
    for name, setup in _SETUP_BY_NAME.items():
        kind = kinds.add_parser(name)
        kind.add_argument("--port", type=int, default=0)
        kind.set_defaults(build=setup(kind))
    options = parser.parse_args(arguments)
    stand_in = options.build(options)
    ended = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, ended.set)
    stand_in.start()
    print(f"listening on {stand_in.address}", flush=True)
    ended.wait()
    stand_in.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
