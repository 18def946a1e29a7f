"""Starts the processes under test and reads their resource usage.

Processes of the system never start others; this benchmark is a test harness
and starts the processes that it measures.
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
# Indices of fields after the program name in /proc/PID/stat.
_USER_TICKS = 11
_SYSTEM_TICKS = 12
_KILOBYTE = 1024
_START_TIMEOUT_SECONDS = 20.0
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


class BenchProcess:
    """A process under test.

    Attributes:
        name: Role of the process.
        address: ``host:port`` on which it listens.
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
        """Return the processor time used so far, seconds.

        The resolution is 10 ms. Finished threads are included; the scheduler
        statistics have a higher resolution but leave them out.
        """
        stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Return the resident memory, bytes."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * _KILOBYTE
        raise RuntimeError(f"{self.name}: VmRSS is missing in /proc/PID/status")

    def stop(self) -> None:
        """Kill the process."""
        self._process.kill()
        self._process.wait()


class Bench:
    """A platform, an engine, an agent and a router as separate processes.

    Attributes:
        engine: The engine process.
        agent: The agent of the engine.
        router: The router process.
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
    def processes(self) -> list[BenchProcess]:
        """All processes."""
        return [self._platform, self.engine, self.agent, self.router]

    def stop(self) -> None:
        """Kill all processes."""
        self._pool.close()
        for process in self.processes:
            process.stop()

    def _start(self, name: str, arguments: list[str]) -> BenchProcess:
        address = embedded.free_address()
        port = address.rpartition(":")[2]
        return BenchProcess(
            name=name, arguments=[*arguments, "--port", port], address=address
        )

    def _start_daemon(self, name: str, arguments: list[str]) -> BenchProcess:
        address = embedded.free_address()
        return BenchProcess(
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

    def _wait(self, path: str, process: BenchProcess) -> None:
        deadline = time.monotonic() + _START_TIMEOUT_SECONDS
        while not self._is_serving(path, process):
            if time.monotonic() > deadline:
                raise RuntimeError(f"{process.name}: did not become ready")
            gevent.sleep(0.02)

    def _is_serving(self, path: str, process: BenchProcess) -> bool:
        try:
            response = self._pool.request(process.address, "GET", path)
            response.read()
        except client.CALL_ERRORS:
            return False
        return response.status_code == 200


def processor_seconds(processes: typing.Sequence[BenchProcess]) -> list[float]:
    """Return the processor time of each process, seconds."""
    return [process.processor_seconds() for process in processes]
