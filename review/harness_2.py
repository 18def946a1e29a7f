"""Stand-ins of the platform and of clients, and processes of a small deployment.

The store follows the page of the platform's metadata store; the settings follow
the page of the deployment. Everything listens on loopback addresses.
"""

import asyncio
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

_FOLDER = pathlib.Path(__file__).resolve().parent
_ROOT = _FOLDER.parent
_ROUTER = pathlib.Path("target/bin/daisypick-router")
_PAGE_ITEMS = 500

SETTINGS = """\
NodeName = "{name}"
Role = "router"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "bg-south"
InternalPorts = [7400, 7415]
Seeds = []
Bootstrap = true
FaultCounted = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Invariants = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"]
[Zones]
smolyan = "bg-south"
velingrad = "bg-south"
[Listen]
Front = "{ip}:8783"
Ready = "{ip}:8780"
[Limits]
CpuShare = 0.817
Cores = 1
MemoryMb = {memory}
MaxFds = 4100
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
    """The case could not be set up."""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.address = None
        self.calls = 0

    async def start(self, ip):
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = (ip, server.sockets[0].getsockname()[1])

    def put(self, kind, name, spec=None, status=None):
        """Create or replace an object; return its time of acknowledgement."""
        self.revision += 1
        known = self.objects.setdefault(kind, {})
        before = known.get(name, {})
        known[name] = {
            "Meta": {
                "Name": name,
                "Revision": self.revision,
                "Created": before.get("Meta", {}).get("Created", self.revision),
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": before.get("Spec") if spec is None else spec,
            "Status": before.get("Status") if status is None else status,
        }
        self._note(kind, known[name], False)
        return time.monotonic()

    def remove(self, kind, name):
        """Remove an object; return the time of acknowledgement."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            meta = {**stored["Meta"], "Revision": self.revision}
            self._note(kind, {**stored, "Meta": meta}, True)
        return time.monotonic()

    def _note(self, kind, stored, deleted):
        self.events.append((self.revision, kind, stored, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")[:-2]
                method, target, _ = first.split(" ")
                length = 0
                for line in lines:
                    name, _, value = line.partition(":")
                    if name.strip().lower() == "content-length":
                        length = int(value)
                data = await reader.readexactly(length)
                self.calls += 1
                status, body = await self._answer(method, target, data)
                content = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(content)) + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, data):
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix("/-/objects/").partition("/")
        known = self.objects.get(kind, {})
        if method == "GET" and name:
            return (200, known[name]) if name in known else (404, {})
        if method == "GET" and "Watch" in asked:
            return await self._watch(kind, asked)
        if method == "GET":
            names = sorted(n for n in known if n > asked.get("AfterRev", ""))
            page = names[:_PAGE_ITEMS]
            return 200, {
                "Items": [known[n] for n in page],
                "HasMore": len(names) > len(page),
                "CurrentRev": self.revision,
            }
        if method == "DELETE":
            if name not in known:
                return 404, {}
            revision = asked.get("Revision")
            if revision and int(revision) != known[name]["Meta"]["Revision"]:
                return 409, known[name]
            self.remove(kind, name)
            return 200, {}
        body = json.loads(data)
        meta = body.get("Meta", {})
        if method == "POST":
            name = meta["Name"]
            if name in known:
                return 409, known[name]
        is_status = name.endswith("/status")
        name = name.removesuffix("/status")
        if method == "PUT":
            if name not in known:
                return 404, {}
            if meta.get("Revision") not in (None, known[name]["Meta"]["Revision"]):
                return 409, known[name]
        if is_status:
            self.put(kind, name, status=body["Status"])
        else:
            self.put(kind, name, spec=body["Spec"])
        return 200, self.objects[kind][name]

    async def _watch(self, kind, asked):
        since = int(asked["Watch"])
        until = time.monotonic() + min(int(asked["WaitMs"]), 30000) / 1000
        while True:
            found = [
                {"Object": stored, "Deleted": deleted}
                for revision, of_kind, stored, deleted in self.events
                if revision > since and of_kind == kind
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "CurrentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Process:
    """A process that this case has started."""

    def __init__(self, name, arguments, output, environment=None):
        self.name = name
        self.output = output
        with open(output, "wb") as target:
            self.popen = subprocess.Popen(
                arguments, cwd=_ROOT, env=environment, stdout=target,
                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def is_running(self):
        return self.popen.poll() is None

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def read_events(self):
        """Return the JSON lines that it has written."""
        events = []
        for line in self.output.read_bytes().split(b"\n"):
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
        return events


class Deployment:
    """Store, replicas and routers of one case."""

    def __init__(self, case):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.record = Record(case / "record.txt")
        self.store = Store()
        self.processes = []
        self.replicas = {}
        base = os.getpid()
        self._prefix = f"127.{100 + base // 250 % 100}.{base % 250}"
        self._numbers = itertools.count(2)

    def next_ip(self):
        return f"{self._prefix}.{next(self._numbers)}"

    async def start_store(self):
        await self.store.start(self.next_ip())

    async def start_replica(self, name, service, zone="smolyan", version="1", **options):
        """Start a replica and register it in the store."""
        ip = self.next_ip()
        arguments = [sys.executable, str(_FOLDER / "replica_2.py"), "--id", name, "--ip", ip]
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        process = Process(name, arguments, self.folder / f"{name}.log")
        self.processes.append(process)
        self.replicas[name] = process
        port = None
        for _ in range(100):
            port = next((e["port"] for e in process.read_events() if e["event"] == "listening"), None)
            if port:
                break
            await asyncio.sleep(0.05)
        if not port:
            raise CannotRun(f"replica {name} does not listen")
        process.address = (ip, port)
        process.entry = {
            "Service": service, "Address": f"{ip}:{port}", "Zone": zone,
            "Version": version, "Slots": options.get("slots", 6), "State": "ready",
            "ColdLeftMs": 0, "Seq": 0, "born": int(time.time() * 1000),
        }
        self.store.put("servers", name, dict(process.entry))
        return process

    async def start_router(self, name, zone="smolyan", memory=300):
        """Start a router as the platform does, and wait until it is ready."""
        if not (_ROOT / _ROUTER).exists():
            raise CannotRun("the router is not built")
        ip = self.next_ip()
        settings = self.folder / f"{name}.toml"
        store = "%s:%d" % self.store.address
        settings.write_text(SETTINGS.format(name=name, ip=ip, zone=zone, memory=memory, store=store))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["DAISYPICK_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = str(_ROOT / "target" / "deps")
        process = Process(name, [str(_ROUTER)], self.folder / f"{name}.log", environment)
        process.ip = ip
        self.processes.append(process)
        for _ in range(200):
            if await self.is_ready(process):
                return process
            await asyncio.sleep(0.05)
        raise CannotRun(f"router {name} is not ready")

    async def is_ready(self, router):
        answer = await request(
            (router.ip, 8780), "GET", "/-/ready", {"Host": router.ip}, limit=1.0
        )
        return answer["status"] == 200

    def close(self):
        for process in self.processes:
            process.end()
        shutil.rmtree(self.folder, ignore_errors=True)


class Channel:
    """A channel of a requester."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address, limit=1.0):
        return cls(*await asyncio.wait_for(asyncio.open_connection(*address), limit))

    def close(self):
        self.writer.close()

    async def request(self, method, target, headers, body=b"", limit=30.0):
        """Send a request; return a dictionary that tells what came back."""
        answer = {
            "status": None, "headers": {}, "bytes": 0, "complete": False,
            "error": None, "events": [], "sent": None, "first": None, "end": None,
        }
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        try:
            async with asyncio.timeout(limit):
                self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                await self.writer.drain()
                answer["sent"] = time.monotonic()
                await self._read(answer)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            answer["error"] = f"channel ended: {type(error).__name__}"
        except TimeoutError:
            answer["error"] = "no complete answer in time"
        answer["end"] = time.monotonic()
        return answer

    async def _read(self, answer):
        head = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        answer["status"] = int(first.split(" ")[1])
        answer["first"] = time.monotonic()
        for line in lines:
            name, _, value = line.partition(":")
            answer["headers"][name.strip().lower()] = value.strip()
        if answer["headers"].get("transfer-encoding") == "chunked":
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                data = await self.reader.readexactly(size + 2)
                answer["bytes"] += size
                answer["events"] += [
                    int(line[3:]) for line in data.split(b"\n") if line.startswith(b"id:")
                ]
            await self.reader.readuntil(b"\r\n")
        else:
            left = int(answer["headers"].get("content-length", "0"))
            while left:
                data = await self.reader.read(min(left, 65536))
                if not data:
                    raise asyncio.IncompleteReadError(b"", left)
                left -= len(data)
                answer["bytes"] += len(data)
        answer["complete"] = True


async def request(address, method, target, headers, body=b"", limit=30.0):
    """Send one request on a channel of its own."""
    try:
        channel = await Channel.open(address)
    except (OSError, TimeoutError) as error:
        return {"status": None, "error": f"no channel: {error!r}", "complete": False,
                "headers": {}, "events": [], "sent": None, "end": time.monotonic()}
    try:
        return await channel.request(method, target, headers, body, limit)
    finally:
        channel.close()


def write_manifest(services, routes, version=3, idle_ms=15000):
    """Return a manifest with the fields that the pages name."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": idle_ms, "TokensPerS": 1_000_000,
        },
        "Tenants": [{"Name": "hule930", "ApiKeys": ["asnmgkcuyj8pjbvk9m68"]}],
    }


KEY = {"X-Api-Key": "asnmgkcuyj8pjbvk9m68"}


def run(case_file, main):
    """Run a case; exits with 1 if the rule was broken, 0 if it held, else 2."""
    case = pathlib.Path(case_file).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    deployment = Deployment(case)

    async def _run():
        async with asyncio.timeout(110):
            return await main(deployment, trouble)

    def _stop(number, frame):
        del frame
        raise SystemExit(f"stopped by signal {number}")

    signal.signal(signal.SIGTERM, _stop)
    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(_run())
        code = 1 if broken else 0
        deployment.record.write(f"the rule {'was broken' if broken else 'held'}")
    except Exception as error:
        deployment.record.write(f"the case could not run: {error!r}")
    finally:
        deployment.close()
    sys.stdout.flush()
    # What the loop still holds are channels of processes that have ended.
    os._exit(code)
