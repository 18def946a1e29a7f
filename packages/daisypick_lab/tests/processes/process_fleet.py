"""Routers and agents in separate processes, to be killed and suspended.

Platform and plain services run in the test process, so that tests can inspect
which calls ran.
"""

import hashlib
import json
import os
import random
import signal
import subprocess
import sys
import time

import gevent

from daisypick_cli import publication
from daisypick_core.configuration import model
from daisypick_lab import embedded
from daisypick_node.http import client
from daisypick_node.platform import http as http_platform
from daisypick_standins.plain import server as plain_server
from daisypick_standins.platform import server as platform_server

CALLER_KEY = "caller-key-of-union"
FLEET_KEY = "fleet-key-of-tests"
OPERATOR_KEY = "operator-key-of-tests"
TIMEOUT_SECONDS = 30.0


class Daemon:
    """A router or agent in a process of its own."""

    def __init__(self, kind, address, arguments):
        self.address = address
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "daisypick_node",
                kind,
                "--listen",
                address,
                "--fleet-keys",
                FLEET_KEY,
                "--operator-keys",
                OPERATOR_KEY,
                *arguments,
            ],
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def send(self, number):
        self._process.send_signal(number)

    @property
    def has_exited(self):
        return self._process.poll() is not None

    def stop(self):
        self.send(signal.SIGCONT)
        self._process.kill()
        self._process.wait()


class ProcessFleet:
    """Two routers, and an agent for each server of the service ``desk``."""

    def __init__(self, servers=2):
        self.platform = platform_server.Platform()
        self.platform.start()
        self.desks = [plain_server.PlainService() for _ in range(servers)]
        for desk in self.desks:
            desk.start()
        self.agents = [self.start_agent(n) for n in range(servers)]
        self.routers = [self._start_router() for _ in range(2)]
        self.out = set()
        self.configure()
        for daemon in self.agents + self.routers:
            wait_until(lambda daemon=daemon: self._is_ready(daemon))

    def start_agent(self, number, address=None):
        arguments = ["--name", f"desk-{number}", *self._common(f"dc{number}")]
        address = address or embedded.free_address()
        return Daemon("agent", address, arguments)

    def _start_router(self):
        address = embedded.free_address()
        arguments = [*self._common("dc0"), "--progress-timeout", "2"]
        return Daemon("router", address, arguments)

    def _common(self, data_centre):
        platform = self.platform.address
        return ["--data-centre", data_centre, "--platform", platform]

    def configure(self):
        publisher = publication.Publisher(
            client=http_platform.HttpPlatformClient(
                address=self.platform.address
            ),
            clock=time.monotonic,
            sleep=gevent.sleep,
            rng=random.Random(1),
        )
        publisher.publish(self._configuration(), publisher.read())

    def _configuration(self):
        key_hash = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        numbers = range(len(self.desks))
        return model.Configuration(
            generation=0,
            organisations_by_name={
                "union": model.Organisation("union", key_hashes=(key_hash,))
            },
            services_by_name={
                "desk": model.Service(
                    name="desk",
                    kind=model.PLAIN,
                    not_repeatable=(model.Call("POST", "/bookings"),),
                )
            },
            backend_servers_by_name={
                f"desk-{n}": model.BackendServer(
                    name=f"desk-{n}",
                    service="desk",
                    data_centre=f"dc{n}",
                    address=self.desks[n].address,
                    agent=self.agents[n].address,
                    slots=8,
                    cold_slots=8,
                )
                for n in numbers
            },
            data_centres_by_name={
                f"dc{n}": model.DataCentre(f"dc{n}", is_in=n not in self.out)
                for n in numbers
            },
        )

    def _is_ready(self, daemon):
        try:
            pool = client.ClientPool(timeout=2.0)
            answer = pool.request(daemon.address, "GET", "/health/ready")
        except client.CALL_ERRORS:
            return False
        return answer.status_code == 200

    def call(
        self, marker, *, path="/bookings", method="POST", router=0, key=""
    ):
        """Send a call; return its status and its decoded JSON body."""
        headers = {
            "Authorization": f"Bearer {CALLER_KEY}",
            "X-Marker": marker,
            **({"Idempotency-Key": key} if key else {}),
        }
        answer = client.ClientPool(timeout=TIMEOUT_SECONDS).request(
            self.routers[router].address,
            method,
            f"/services/desk{path}",
            body=b"plot 7",
            headers=headers,
        )
        return answer.status_code, json.loads(answer.read())

    def delay(self, seconds, *desks):
        for number in desks or range(len(self.desks)):
            desk = self.desks[number]
            desk.set_faults(type(desk.faults)(delay=seconds))

    def runs(self, marker):
        return sum(desk.runs_by_marker[marker] for desk in self.desks)

    def stop(self):
        for part in self.agents + self.routers + self.desks:
            part.stop()
        self.platform.stop()


def wait_until(condition):
    """Wait until a condition holds; fail if it does not in time."""
    with gevent.Timeout(TIMEOUT_SECONDS):
        while not condition():
            gevent.sleep(0.02)
