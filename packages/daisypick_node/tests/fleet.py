"""A small fleet for tests: real processes on loopback in one event loop."""

import hashlib
import json
import types

import gevent
from gevent import pywsgi
from gevent import server
import tcp_proxy

from daisypick_core.configuration import model
from daisypick_node import settings as settings_module
from daisypick_node.agent import process as agent_process
from daisypick_node.http import client
from daisypick_node.platform import http as http_platform
from daisypick_node.router import process as router_process
from daisypick_standins.platform import server as platform_server

CHAT = "/v1/chat/completions"
BODY = json.dumps(
    {
        "model": "assistant",
        "stream": True,
        "messages": [{"role": "user", "content": "opening days"}],
    }
).encode()
KEYS = {"fleet_keys": "fleet-key-1", "operator_keys": "operator-key-1"}
CALLER_KEY = "caller-key-of-union"


class FakeEngine:
    """An engine whose behaviour is a WSGI application given by the test.

    ``answer(environ, start_response)`` is the application; ``calls`` holds
    the received bodies.
    """

    def __init__(self, answer):
        self.calls = []
        self._answer = answer
        self._server = pywsgi.WSGIServer(
            ("127.0.0.1", 0), self._serve, log=None, error_log=None
        )
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _serve(self, environ, start_response):
        self.calls.append(environ["wsgi.input"].read())
        return self._answer(environ, start_response)

    def stop(self):
        self._server.stop(timeout=0)


class DisconnectingEngine:
    """An engine that reads each call, sends ``sends`` and disconnects."""

    def __init__(self, service, sends=b""):
        self.service = service
        self.calls = []
        self._sends = sends
        self._server = server.StreamServer(("127.0.0.1", 0), self._disconnect)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _disconnect(self, sock, _):
        self.calls.append(sock.recv(65536))
        sock.sendall(self._sends)
        sock.close()

    def stop(self):
        self._server.stop(timeout=0)


def answer_stream(*events):
    """Return an application that streams events and the end mark."""

    def _answer(environ, start_response):
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        for event in (*events, "[DONE]"):
            yield f"data: {event}\n\n".encode()

    return _answer


def answer_plain(body=b"done", status="200 OK"):
    """Return an application that sends one body, as a plain service."""

    def _answer(environ, start_response):
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]

    return _answer


class Fleet:
    """A platform, routers, and one agent per engine."""

    def __init__(
        self,
        engines,
        router_count=1,
        common=None,
        router_settings=None,
        **agent_settings,
    ):
        self.router_settings = router_settings or {}
        self.common = {**KEYS, **(common or {})}
        self.platform = platform_server.Platform()
        self.platform.start()
        self.engines = engines
        self.agent_settings = agent_settings
        self.agents = [self.make_agent(n) for n in range(len(engines))]
        self.proxies = [
            tcp_proxy.TcpProxy(agent.address) for agent in self.agents
        ]
        self.routers = [self.make_router() for _ in range(router_count)]
        self.out_of_service = set()
        self.generation = 0
        self.configure()

    def make_platform_client(self):
        return http_platform.HttpPlatformClient(address=self.platform.address)

    def make_agent(self, number, listen="127.0.0.1:0"):
        agent = agent_process.AgentProcess(
            settings=settings_module.AgentSettings(
                listen=listen,
                data_centre=f"dc{number}",
                platform=self.platform.address,
                name=f"server{number}",
                **self.common,
                **self.agent_settings,
            ),
            platform=self.make_platform_client(),
        )
        agent.start()
        return agent

    def make_router(self):
        router = router_process.RouterProcess(
            settings=settings_module.RouterSettings(
                listen="127.0.0.1:0",
                data_centre="dc0",
                platform=self.platform.address,
                progress_timeout=2.0,
                **self.router_settings,
                **self.common,
            ),
            platform=self.make_platform_client(),
        )
        router.start()
        return router

    def configure(self):
        self.generation += 1
        key_hash = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        configuration = model.Configuration(
            generation=self.generation,
            organisations_by_name={
                "union": model.Organisation(
                    name="union", key_hashes=(key_hash,)
                )
            },
            services_by_name={
                "assistant": model.Service(name="assistant"),
                "desk": model.Service(
                    name="desk",
                    kind=model.PLAIN,
                    not_repeatable=(model.Call("POST", "/bookings"),),
                ),
            },
            backend_servers_by_name=self._backend_servers(),
            data_centres_by_name={
                f"dc{n}": model.DataCentre(
                    name=f"dc{n}", is_in=n not in self.out_of_service
                )
                for n in range(len(self.agents))
            },
        )
        for process in self.agents + self.routers:
            process.install(configuration)

    def _backend_servers(self):
        return types.MappingProxyType(
            {
                f"server{n}": model.BackendServer(
                    name=f"server{n}",
                    service=engine.service,
                    data_centre=f"dc{n}",
                    address=engine.address,
                    agent=self.proxies[n].address,
                    slots=4,
                    cold_slots=2,
                )
                for n, engine in enumerate(self.engines)
            }
        )

    def call(self, method, path, body=b"", router=0, **headers):
        ca_file = self.common.get("tls_ca")
        pool = client.ClientPool(timeout=10.0, ca_file=ca_file)
        sent = {"Authorization": f"Bearer {CALLER_KEY}"}
        sent |= {k.replace("_", "-"): v for k, v in headers.items()}
        return pool.request(
            self.routers[router].address, method, path, body=body, headers=sent
        )

    def stop(self):
        for process in self.agents + self.routers:
            process.stop()
        for part in self.engines + self.proxies:
            part.stop()
        self.platform.stop()


def make_engine(answer, service="assistant"):
    engine = FakeEngine(answer)
    engine.service = service
    return engine


def wait_until(condition, seconds=10.0):
    """Wait until a condition is true; fail after ``seconds``."""
    with gevent.Timeout(seconds):
        while not condition():
            gevent.sleep(0.01)
