"""Starts the processes under test and reads what they use.

No process of the system starts another one; this bench, which is a test
harness, starts those that it measures.
"""

import hashlib
import os
import pathlib
import random
import subprocess
import sys
import time
import typing

import gevent

from daisypick_cli import publication
from daisypick_core.configuration import model
from daisypick_core.results import failure as failure_value
from daisypick_lab import embedded
from daisypick_node.http import client
from daisypick_node.platform import http as http_platform

CALLER_KEY = "bench-caller-key"
ORGANISATION = "bench"
SERVICE = "assistant"
SLOTS = 4096
_KEYS = ["--fleet-keys", "bench-fleet-key", "--operator-keys", "bench-op-key"]
# Places behind the name of the program in /proc/PID/stat.
_USER_TICKS = 11
_SYSTEM_TICKS = 12
_KILOBYTE = 1024
_PATIENCE_SECONDS = 20.0
_ENGINE = [
    "--slots",
    str(SLOTS),
    "--cold-slots",
    str(SLOTS),
    "--full-slowdown",
    "1.0",
    "--cold-slowdown",
    "1.0",
    "--prefill-rate",
    "1e9",
]


class Measured:
    """A process under test.

    Attributes:
        name: What it is.
        address: ``host:port`` that it listens on.
    """

    def __init__(
        self, *, name: str, arguments: list[str], address: str
    ) -> None:
        self.name = name
        self.address = address
        self._process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def processor_seconds(self) -> float:
        """Return the processor time that it has used, seconds.

        In steps of 10 ms; threads that have ended count, which the finer
        figures of the scheduler leave out.
        """
        stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Return the memory that it holds now."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * _KILOBYTE
        raise RuntimeError(f"{self.name}: no VmRSS")

    def stop(self) -> None:
        """End it."""
        self._process.kill()
        self._process.wait()


class Bench:
    """One platform, engine, agent and router, each a process.

    Attributes:
        engine: The engine.
        agent: Its agent.
        router: The router.
    """

    def __init__(self, *, token_interval: float) -> None:
        self._platform = self._start(
            "platform", ["daisypick_standins", "platform"]
        )
        self.engine = self._start(
            "engine",
            [
                "daisypick_standins",
                "engine",
                "--token-interval",
                str(token_interval),
                *_ENGINE,
            ],
        )
        self.agent = self._start_daemon("agent", ["--name", "assistant-1"])
        self.router = self._start_daemon("router", [])
        self._pool = client.ClientPool(timeout=5.0)
        self._configure()

    @property
    def processes(self) -> list[Measured]:
        """All of them."""
        return [self._platform, self.engine, self.agent, self.router]

    def stop(self) -> None:
        """End all processes."""
        self._pool.close()
        for process in self.processes:
            process.stop()

    def _start(self, name: str, arguments: list[str]) -> Measured:
        address = embedded.free_address()
        port = address.rpartition(":")[2]
        return Measured(
            name=name, arguments=[*arguments, "--port", port], address=address
        )

    def _start_daemon(self, name: str, arguments: list[str]) -> Measured:
        address = embedded.free_address()
        return Measured(
            name=name,
            address=address,
            arguments=[
                "daisypick_node",
                name,
                "--listen",
                address,
                "--data-centre",
                "sofia",
                "--platform",
                self._platform.address,
                *_KEYS,
                *arguments,
            ],
        )

    def _configure(self) -> None:
        self._wait("/v1/vms", self._platform)
        publisher = publication.Publisher(
            client=http_platform.HttpPlatformClient(
                address=self._platform.address
            ),
            clock=time.monotonic,
            sleep=gevent.sleep,
            rng=random.Random(1),
        )
        base = publisher.read()
        if failure_value.is_failure(base):
            raise RuntimeError(base.reason)
        publisher.publish(self._configuration(), base)
        self._wait("/health", self.engine)
        for daemon in (self.agent, self.router):
            self._wait("/health/ready", daemon)

    def _configuration(self) -> model.Configuration:
        key_hash = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        return model.Configuration(
            generation=0,
            organisations_by_name={
                ORGANISATION: model.Organisation(
                    name=ORGANISATION,
                    key_hashes=(key_hash,),
                    max_queued=SLOTS,
                    max_open=SLOTS,
                )
            },
            services_by_name={SERVICE: model.Service(name=SERVICE)},
            backend_servers_by_name={
                "assistant-1": model.BackendServer(
                    name="assistant-1",
                    service=SERVICE,
                    data_centre="sofia",
                    address=self.engine.address,
                    agent=self.agent.address,
                    slots=SLOTS,
                    cold_slots=SLOTS,
                )
            },
            data_centres_by_name={"sofia": model.DataCentre(name="sofia")},
        )

    def _wait(self, path: str, process: Measured) -> None:
        deadline = time.monotonic() + _PATIENCE_SECONDS
        while not self._answers(path, process):
            if time.monotonic() > deadline:
                raise RuntimeError(f"{process.name}: does not come up")
            gevent.sleep(0.02)

    def _answers(self, path: str, process: Measured) -> bool:
        try:
            response = self._pool.request(process.address, "GET", path)
            response.read()
        except client.CALL_ERRORS:
            return False
        return response.status_code == 200


def processor_seconds(processes: typing.Sequence[Measured]) -> list[float]:
    """Return the processor time of each."""
    return [process.processor_seconds() for process in processes]
