"""Stand-ins for the scripts of this review, and the start of real routers.

The platform's store, plain replicas and requesters run in this process, on
loopback addresses and the real clock. Routers are started from the command of
the deploy file, each as a process of its own with a settings file.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of the small deployment, as the users' page of settings has them.
BOUNDS = {
    "StableWindowMs": 3000,
    "DrainMs": 2000,
    "GraceS": 8,
    "ConfigApplyMs": 2000,
    "EvacuateMs": 5000,
    "RecoverS": 12,
}

# Seconds between two reports of a replica, ``HeartbeatMs``.
HEARTBEAT = 1.2

_SETTINGS = """\
NodeName = "{name}"
Role = "router"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "r1"
InternalPorts = [{peer},{peer}]
Seeds = []
Bootstrap = true
FaultCounted = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Invariants = ["base","drain","config","cost","retry","recover","tenants"]
[Zones]
z1 = "r1"
z2 = "r1"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = 300
MaxFds = 1000
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
SkewMaxMs = 5000
StrictRevoke = false
RevokeMs = 5000
BudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtra = 56
ColdOver = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoverS = 12
PassMs = 120
ReuseWindowS = 6.8
QuotaWindowS = 4
[Provider]
Address = "{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, what, **fields):
        at = time.monotonic() - self._began_at
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {what} {text}\n")

    def say(self, text):
        self._file.write(f"# {text}\n")
        print(text, flush=True)

    def close(self):
        self._file.close()


async def read_message(reader, *, has_body=True):
    """Return the first line, headers and body of a message, or ``None``.

    The answer to a HEAD has no body, whatever its headers say.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if not has_body:
        body = b""
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


def write_message(first, headers, body):
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store: objects by kind and name, lists and watches.

    A ``Spec`` is kept as the bytes that its writer sent.
    """

    def __init__(self, record):
        self._record = record
        self._revision = 10
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._tasks = set()
        self.calls = {}

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=4 << 20
        )
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def put(self, kind, name, spec):
        """Write an object; return the time of the acknowledgement."""
        raw = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        self._revision += 1
        known = self._objects.setdefault(kind, {})
        created = known[name][1] if name in known else self._revision
        known[name] = (self._revision, created, raw)
        self._note(kind, name, deleted=False)
        return time.monotonic()

    def remove(self, kind, name):
        if name in self._objects.get(kind, {}):
            revision, created, raw = self._objects[kind].pop(name)
            self._revision += 1
            self._note(kind, name, deleted=True, last=(created, raw))
        return time.monotonic()

    def _note(self, kind, name, *, deleted, last=None):
        if deleted:
            created, raw = last
        else:
            _, created, raw = self._objects[kind][name]
        item = self._write_object(name, self._revision, created, raw)
        self._events.append((self._revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    @staticmethod
    def _write_object(name, revision, created, raw):
        meta = {
            "Name": name,
            "Revision": revision,
            "Created": created,
            "Finalizers": [],
            "Deleting": False,
        }
        return b'{"Meta":%b,"Spec":%b}' % (json.dumps(meta).encode(), raw)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                first, _, body = message
                method, target, _ = first.split(" ")
                status, answer = await self._answer(method, target, body)
                await asyncio.sleep(0.004)
                writer.write(
                    write_message(
                        f"HTTP/1.1 {status} X",
                        {"Content-Type": "application/json"},
                        answer,
                    )
                )
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        asked = dict(
            pair.split("=", 1) for pair in query.split("&") if "=" in pair
        )
        kind, _, name = path.removeprefix("/-/objects/").partition("/")
        known = self._objects.setdefault(kind, {})
        call = f"{method} {kind}" + (" watch" if "Watch" in asked else "")
        self.calls[call] = self.calls.get(call, 0) + 1
        if method == "GET" and "Watch" in asked:
            return await self._watch(kind, asked)
        if method == "GET" and name:
            if name not in known:
                return 404, b"{}"
            return 200, self._write_object(name, *known[name])
        if method == "GET":
            items = b",".join(
                self._write_object(name, *known[name]) for name in sorted(known)
            )
            return 200, b'{"Items":[%b],"HasMore":false,"CurrentRev":%d}' % (
                items,
                self._revision,
            )
        name = name.removesuffix("/status")
        if method == "DELETE":
            if name not in known:
                return 404, b"{}"
            revision = int(asked.get("Revision", known[name][0]))
            if revision != known[name][0]:
                return 409, self._write_object(name, *known[name])
            self.remove(kind, name)
            return 200, b"{}"
        data = json.loads(body)
        name = name or data["Meta"]["Name"]
        if method == "POST" and name in known:
            return 409, self._write_object(name, *known[name])
        if method == "PUT" and name not in known:
            return 404, b"{}"
        if "Spec" in data:
            self.put(kind, name, data["Spec"])
        return 200, self._write_object(name, *self._objects[kind][name])

    async def _watch(self, kind, asked):
        since = int(asked["Watch"])
        until = time.monotonic() + int(asked.get("WaitMs", 0)) / 1000.0
        while True:
            found = [
                b'{"Object":%b,"Deleted":%b}'
                % (item, b"true" if deleted else b"false")
                for revision, of_kind, item, deleted in self._events
                if revision > since and of_kind == kind
            ]
            left = until - time.monotonic()
            if found or left <= 0.0:
                return 200, b'{"events":[%b],"CurrentRev":%d}' % (
                    b",".join(found),
                    self._revision,
                )
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class Replica:
    """A plain replica with its entry in the store."""

    def __init__(self, record, store, *, name, service, zone, work):
        self._record = record
        self._store = store
        self.name = name
        self.service = service
        self._zone = zone
        self._work = work
        self._seq = 0
        self.state = "ready"
        self.draining_since = None
        self.ended_at = None
        self.runs = []
        self.cut = []
        # Share of its answers after which it sends a second one.
        self.second_answers = 0.0
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        self._born = int(time.time() * 1000)
        self.write_entry()

    def write_entry(self):
        self._seq += 1
        return self._store.put(
            "servers",
            self.name,
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self._zone,
                "Version": "v1",
                "Slots": 6,
                "State": self.state,
                "ColdLeftMs": 0,
                "Seq": self._seq,
                "born": self._born,
            },
        )

    def drain(self):
        """Report ``draining``; return the time of the acknowledgement."""
        self.state = "draining"
        self.draining_since = self.write_entry()
        self._record.write("draining acknowledged", replica=self.name)
        return self.draining_since

    def stop(self):
        """Nothing is left to stop: this replica runs in the script."""

    async def wait(self):
        """Return at once: there is no process to wait for."""

    def end(self):
        """Exit: stop listening and close all channels."""
        self.ended_at = time.monotonic()
        self._record.write("replica ends", replica=self.name)
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self._store.remove("servers", self.name)

    def _make_answer(self, method, attempt):
        body = f"{self.name} {attempt}".encode() + b"." * 700
        answer = write_message(
            "HTTP/1.1 200 OK",
            {
                "Daisypick-Attempt-Id": attempt,
                "Daisypick-Server-Seal": f"{self.name}.{attempt}",
                "Keep-Alive": "timeout=15",
            },
            body,
        )
        if method == "HEAD":
            answer = answer[: -len(body)]
        if random.random() < self.second_answers:
            self._record.write("second answer", id=attempt, call=method)
            answer += answer
        return answer

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        current = None
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, path, _ = first.split(" ")
                attempt = headers.get("daisypick-attempt-id", "")
                if path == "/health":
                    status = 200 if self.state == "ready" else 503
                    writer.write(
                        write_message(
                            f"HTTP/1.1 {status} X",
                            {"Daisypick-Instance-Id": self.name},
                            b"",
                        )
                    )
                    continue
                wanted = headers.get("daisypick-expect-instance", self.name)
                if wanted != self.name:
                    writer.write(
                        write_message(
                            "HTTP/1.1 421 X",
                            {"Daisypick-Instance-Id": self.name},
                            b"",
                        )
                    )
                    continue
                run = {
                    "at": time.monotonic(),
                    "id": attempt,
                    "path": path,
                    "tenant": headers.get("daisypick-tenant"),
                    "key": headers.get("x-api-key"),
                }
                self.runs.append(run)
                self._record.write(
                    "run",
                    replica=self.name,
                    id=attempt,
                    call=f"{method} {path}",
                    tenant=run["tenant"],
                )
                current = attempt
                await asyncio.sleep(self._work)
                current = None
                writer.write(self._make_answer(method, attempt))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            if current is not None:
                self.cut.append(current)
                self._record.write("run cut", replica=self.name, id=current)
        finally:
            self._tasks.discard(task)
            writer.close()


class ReplicaProcess:
    """A replica as a process of its own, which can be killed."""

    def __init__(self, record, store, *, name, service, zone, work):
        self._record = record
        self._store = store
        self.name = name
        self.service = service
        self._zone = zone
        self._work = work
        self._seq = 0
        self.ended_at = None
        self.begun = set()
        self.finished = set()

    async def start(self):
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            str(ROOT / "review/replica.py"),
            self.name,
            str(self._work),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
        )
        line = await asyncio.wait_for(self._process.stdout.readline(), 10.0)
        self.address = line.decode().strip()
        self._born = int(time.time() * 1000)
        self._reader = asyncio.create_task(self._read_runs())
        self.write_entry()

    def write_entry(self):
        self._seq += 1
        self._store.put(
            "servers",
            self.name,
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self._zone,
                "Version": "v1",
                "Slots": 6,
                "State": "ready",
                "ColdLeftMs": 0,
                "Seq": self._seq,
                "born": self._born,
            },
        )

    async def _read_runs(self):
        while line := await self._process.stdout.readline():
            what, attempt = line.decode().split()
            (self.begun if what == "begin" else self.finished).add(attempt)
            self._record.write(f"run {what}", replica=self.name, id=attempt)

    def kill(self):
        self.ended_at = time.monotonic()
        self._record.write("replica is killed", replica=self.name)
        self.stop()
        # The store drops an entry after three intervals of silence.
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT, self._store.remove, "servers", self.name
        )

    def stop(self):
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()

    async def wait(self):
        await self._process.wait()
        await self._reader


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, folder, *, number, ip, ports, store, zone):
        self.name = f"front-{number}"
        self.ip = ip
        self._ports = ports
        self._settings = folder / f"{self.name}.toml"
        self.output = folder / f"{self.name}.log"
        self._settings.write_text(
            _SETTINGS.format(
                name=self.name, ip=ip, store=store, zone=zone, **ports
            ),
            encoding="utf-8",
        )
        self.process = None

    @property
    def front(self):
        return self.ip, self._ports["front"]

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split(" ")
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["DAISYPICK_NODE_FILE"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self._ports["ready"]), 1.0
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return b" 200" in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Answer:
    """What a requester saw of one request."""

    def __init__(self, *, attempt, router, path, key, limit):
        self.attempt = attempt
        self.router = router
        self.path = path
        self.key = key
        self.limit = limit
        self.sent_at = None
        self.ended_at = None
        self.status = None
        self.outcome = "not sent"
        self.seal = ""
        # The request that the answer names, if it names one.
        self.answers = None
        self.body = b""
        self.is_whole = False

    @property
    def seconds(self):
        return (self.ended_at or time.monotonic()) - self.sent_at


class Requester:
    """Sends one request at a time, on a channel that it keeps."""

    def __init__(self, record, router):
        self._record = record
        self._router = router
        self._channel = None

    def close(self):
        if self._channel is not None:
            self._channel[1].close()
            self._channel = None

    async def send(self, method, path, *, key, limit=2.5, body=b""):
        """Send a request and wait for its answer for ``limit`` seconds."""
        answer = Answer(
            attempt=f"{random.getrandbits(64):016x}",
            router=self._router.name,
            path=path,
            key=key,
            limit=limit,
        )
        try:
            if self._channel is None:
                self._channel = await asyncio.wait_for(
                    asyncio.open_connection(*self._router.front), 1.0
                )
        except (OSError, TimeoutError):
            answer.outcome = "no channel"
            return answer
        reader, writer = self._channel
        headers = {
            "Host": "desk.example",
            "Daisypick-Attempt-Id": answer.attempt,
            "Daisypick-Deadline-Ms": int(limit * 1000),
        }
        if key is not None:
            headers["X-Api-Key"] = key
        answer.sent_at = time.monotonic()
        self._record.write(
            "sent", id=answer.attempt, to=answer.router, call=f"{method} {path}"
        )
        try:
            writer.write(
                write_message(f"{method} {path} HTTP/1.1", headers, body)
            )
            await writer.drain()
            message = await asyncio.wait_for(
                read_message(reader, has_body=method != "HEAD"), limit
            )
        except TimeoutError:
            answer.outcome = "unanswered"
        except (OSError, asyncio.IncompleteReadError):
            answer.outcome = "closed"
        else:
            if message is None:
                answer.outcome = "closed"
            elif message[0].startswith("HTTP/1.1 "):
                answer.outcome = "answered"
            else:
                answer.outcome = "no answer in the protocol"
        answer.ended_at = time.monotonic()
        if answer.outcome == "answered":
            first, headers, content = message
            answer.status = int(first.split(" ")[1])
            seal = headers.get("daisypick-server-seal", "")
            answer.seal, answer.body = seal, content
            answer.answers = headers.get("daisypick-attempt-id")
            answer.is_whole = seal.endswith(answer.attempt) and (
                method == "HEAD" or answer.attempt.encode() in content
            )
            is_foreign = answer.answers not in (None, answer.attempt)
            if is_foreign or headers.get("connection", "").lower() == "close":
                self.close()
        else:
            self.close()
        self._record.write(
            answer.outcome,
            id=answer.attempt,
            status=answer.status,
            seconds=f"{answer.seconds:.3f}",
        )
        return answer


async def keep_sending(answers, requester, make_call, *, until, pause):
    """Send calls one after the other until a time."""
    while time.monotonic() < until:
        answers.append(await requester.send(**make_call()))
        await asyncio.sleep(pause * random.uniform(0.5, 1.5))
    requester.close()


def find_address(count):
    """Return loopback addresses and ports that are free on all of them."""
    for _ in range(200):
        base = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        ips = [f"{base}.{number + 1}" for number in range(count)]
        low = random.randint(21000, 30000)
        ports = {"front": low, "ready": low + 1, "peer": low + 2}
        if all(
            _is_free(ip, port) for ip in ips for port in (*ports.values(), 9464)
        ):
            return ips, ports
    raise CannotRun("no free loopback address")


def _is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Deployment:
    """A store, replicas of one plain service and routers."""

    def __init__(
        self,
        record,
        folder,
        *,
        routers=2,
        replicas=3,
        work=0.045,
        make_replica=Replica,
    ):
        self.record = record
        self.store = Store(record)
        self.replicas = [
            make_replica(
                record,
                self.store,
                name=f"i-{random.getrandbits(32):08x}",
                service="desk",
                zone=f"z{number % 2 + 1}",
                work=work,
            )
            for number in range(replicas)
        ]
        self._folder = folder
        self._count = routers
        self.routers = []
        self._heartbeats = None

    async def start(self, manifest):
        await self.store.start()
        self.store.put("config", "main", manifest)
        for replica in self.replicas:
            await replica.start()
        self._heartbeats = asyncio.create_task(self._write_heartbeats())
        ips, ports = find_address(self._count)
        for number, ip in enumerate(ips):
            router = Router(
                self._folder,
                number=number + 1,
                ip=ip,
                ports=ports,
                store=self.store.address,
                zone=f"z{number % 2 + 1}",
            )
            self.routers.append(router)
            router.start()
        until = time.monotonic() + 20.0
        while not all([await router.is_ready() for router in self.routers]):
            if time.monotonic() > until:
                raise CannotRun("the routers did not become ready")
            await asyncio.sleep(0.1)
        # Until all routers are in touch.
        await asyncio.sleep(4.0)
        self.record.say("routers are ready")

    async def _write_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            for replica in self.replicas:
                if replica.ended_at is None:
                    replica.write_entry()

    def stop(self):
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for router in self.routers:
            router.end()
        for replica in self.replicas:
            replica.stop()

    async def wait(self):
        for replica in self.replicas:
            await replica.wait()


def make_manifest(version, tenants):
    """Return a manifest with one service, an unsafe and a safe route."""
    route = {
        "Host": "desk.example",
        "Service": "desk",
        "TimeoutMs": 2500,
        "LatencyTargetMs": 200,
        "Priority": 1,
        "MaxAttempts": 3,
    }
    return {
        "Version": version,
        "Routes": [
            {
                **route,
                "Name": "order",
                "PathPrefix": "/order/",
                "Kind": "unsafe",
            },
            {**route, "Name": "look", "PathPrefix": "/look/", "Kind": "safe"},
        ],
        "Services": [{"Name": "desk", "HealthPath": "/health"}],
        "Limits": {
            "HeaderBytes": 16384,
            "BodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants,
    }


def run(folder, play, **sizes):
    """Run a case: ``play(deployment)`` returns whether the rule was broken."""
    folder = pathlib.Path(folder).resolve()
    record = Record(folder)
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def play_case():
        deployment = Deployment(record, temporary, **sizes)
        try:
            return await asyncio.wait_for(play(deployment), 110.0)
        finally:
            deployment.stop()
            await deployment.wait()

    def stop(number, frame):
        raise CannotRun(f"signal {number}")

    signal.signal(signal.SIGTERM, stop)
    record.say(f"TROUBLE={int(TROUBLE)}")
    try:
        broken = asyncio.run(play_case())
        code = BROKEN if broken else HELD
        record.say("rule broken" if broken else "rule held")
    except Exception as error:  # An error of the script is no verdict.
        record.say(f"could not run: {error!r}")
        code = NOT_RUN
    finally:
        if os.environ.get("KEEP"):
            print(f"logs are in {temporary}")
        else:
            shutil.rmtree(temporary, ignore_errors=True)
        record.close()
    sys.exit(code)
