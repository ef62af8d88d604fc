"""Stand-ins of the platform, the replicas, the operator and the clients.

They follow the users' pages PROTOCOL.md and DEPLOY.md, on loopback addresses
and the real clock. A case starts gateways with the command of the deploy file
and plays one order of events. Everything that was sent, answered and run goes
to record.txt in the folder of the case.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def __call__(self, text):
        print(f"{time.monotonic() - self.began:8.3f}  {text}", file=self.file,
              flush=True)


used_ports = set()


def free_ports(count):
    """Ports that no other process gets by chance while their owner is down:
    they lie below those that the system hands out."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in used_ports:
            used_ports.add(port)
            ports.append(port)
    return ports


# --- HTTP/1.1, as much as the pages need.


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} {'OK' if status < 300 else 'Status'}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def call(address, method, target, headers=(), body=b"", limit=10.0):
    """One call on a new connection. Returns status, headers and body; status
    0 if there is no complete answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(body)}", "Connection: close", "",
                      ""]
            writer.write("\r\n".join(lines).encode("latin-1") + body)
            await writer.drain()
            first, answered = await read_head(reader)
            return (int(first.split()[1]), answered,
                    await read_body(reader, answered))
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


# --- The platform's store.


class Store:
    """Objects by kind and name, conditional writes and watches. Its answers
    are exact, those to calls with stale_ok too."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.events = []
        self.revision = 10
        self.changed = asyncio.Condition()
        self.watches = {}  # Calls that watch, by the gateway's name.
        self.refused = set()  # Names of gateways that are turned away.

    async def add_endpoint(self, name):
        """Returns an address of the store for one gateway, so that the store
        can tell who calls."""
        async def serve(reader, writer):
            await self.serve(name, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0,
                                            limit=1 << 22)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, name, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split()
                if "watch=" in target:
                    self.watches[name] = self.watches.get(name, 0) + 1
                if name in self.refused:
                    status, answer = 503, {}  # Nothing was done.
                else:
                    status, answer = await self.answer(method, target, body)
                if name in self.refused and method == "GET":
                    status, answer = 503, {}  # It was waiting.
                writer.write(answer_bytes(
                    status, [("Content-Type", "application/json")],
                    json.dumps(answer).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller has left, or the case ends.
        finally:
            writer.close()

    async def change(self, kind, name, spec, deleted=False):
        self.revision += 1
        known = self.objects.get((kind, name))
        thing = {"metadata": {
            "name": name, "revision": self.revision,
            "created_rev": known["metadata"]["created_rev"] if known
            else self.revision, "finalizers": [], "deleting": False},
            "spec": spec, "status": known["status"] if known else None}
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = thing
        self.events.append((self.revision, kind,
                            {"deleted": deleted, "object": thing}))
        async with self.changed:
            self.changed.notify_all()
        return thing

    async def put(self, key, spec):
        """A write of the operator or of a replica."""
        await self.change(*key.split("/", 1), spec)

    async def remove(self, key):
        kind, name = key.split("/", 1)
        if (kind, name) in self.objects:
            await self.change(kind, name, None, deleted=True)

    def get(self, key):
        found = self.objects.get(tuple(key.split("/", 1)))
        return found and found["spec"]

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = path.split("/")[3:]
        kind = urllib.parse.unquote(parts[0])
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else None
        if method == "GET" and name is None:
            return await self.list(kind, query)
        if method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        sent = json.loads(body) if body else {}
        metadata = sent.get("metadata", {})
        name = name if name is not None else metadata["name"]
        found = self.objects.get((kind, name))
        if method == "POST":
            if found:
                return 409, found
            return 201, await self.change(kind, name, sent.get("spec"))
        if not found:
            return 404, {}
        expected = metadata.get("revision", query.get("revision"))
        if expected is not None and int(expected) != \
                found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            return 200, await self.change(kind, name, None, deleted=True)
        if len(parts) > 2:
            found["status"] = sent.get("status")
            return 200, found
        if sent.get("spec") == found["spec"]:
            return 200, found
        return 200, await self.change(kind, name, sent.get("spec"))

    async def list(self, kind, query):
        if "watch" not in query:
            names = sorted(n for k, n in self.objects if k == kind)
            names = [n for n in names if n > query.get("after", "")]
            return 200, {"items": [self.objects[kind, n] for n in names[:500]],
                         "has_more": len(names) > 500, "as_of": self.revision}
        since = int(query["watch"])

        def news():
            return [e for revision, k, e in self.events
                    if k == kind and revision > since]

        try:
            async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                async with self.changed:
                    await self.changed.wait_for(news)
        except TimeoutError:
            pass
        return 200, {"events": news(), "as_of": self.revision}


# --- Replicas.


class Replica:
    """A model replica: streams events, resumes after Last-Event-Id, refuses
    when full, answers 421 to what is not meant for it. May crash on a part of
    a prompt when it begins to write an answer."""

    def __init__(self, world, name, service, slots=8, events=30, gap=0.05,
                 version="v1"):
        self.world, self.name, self.service = world, name, service
        self.slots, self.events, self.gap = slots, events, gap
        self.version = version  # Of its software.
        self.starts = 0
        self.running = 0
        self.weights = 1
        self.deadly_part = None
        self.server = None
        self.writers = set()
        self.port = free_ports(1)[0]

    async def start(self):
        self.starts += 1
        self.running = 0
        self.id = f"i-{self.name}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        await self.beat()

    async def beat(self, state="ready"):
        await self.world.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": "akl-a", "version": self.version, "slots": self.slots,
            "state": state, "cold_remaining_ms": 0, "stage": "both",
            "born": self.born, "sequence": 1, "models": [
                {"name": "m", "version": self.weights, "adapters": []}]})

    async def crash(self, down_s):
        """Sends nothing, drops all that it runs, and is back later as a new
        incarnation. Its entry expires after three heartbeats."""
        gone = self.id
        self.world.record(f"replica {gone} crashes")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        await self.start()
        self.world.record(f"replica {self.name} is back as {self.id}")
        await asyncio.sleep(max(0.0, 3.6 - down_s))
        await self.world.store.remove(f"servers/{gone}")

    async def leave(self, drain_s=2.0):
        """A planned end: reports that it drains, serves on for a while."""
        await self.beat("draining")
        await asyncio.sleep(drain_s + 1.0)
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        await self.world.store.remove(f"servers/{self.id}")
        self.world.record(f"replica {self.id} ({self.version}) has left")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.run(first, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller has left, or the case ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def refuse(self, status, headers, writer, why):
        request = headers.get("request-id", "")
        self.world.record(f"{self.id} answers {request} {status}, not run: "
                          f"{why}")
        extra = [("Not-Executed", "1")] if status != 421 else \
            [("Instance-Id", self.id)]
        writer.write(answer_bytes(status, [("Request-Id", request)] + extra,
                                  b""))
        await writer.drain()

    async def run(self, first, headers, body, writer):
        method, target, _ = first.split()
        request = headers.get("request-id", "")
        if headers.get("target-instance", self.id) != self.id:
            return await self.refuse(421, headers, writer, "another instance")
        if headers.get("expect-version", str(self.weights)) != \
                str(self.weights):
            return await self.refuse(421, headers, writer,
                                     f"weights have version {self.weights}")
        if self.running >= self.slots:
            return await self.refuse(503, headers, writer, "full")
        self.running += 1
        try:
            after = int(headers.get("last-event-id", 0))
            self.world.record(f"{self.id} runs {request} {method} {target} "
                              f"after event {after}")
            self.world.runs.append(request)
            self.world.services[request] = self.service
            parts = [p.split(":")[0] for p in
                     headers.get("prompt-prefix", "").split(",")]
            await asyncio.sleep(0.05)
            if self.deadly_part in parts:
                asyncio.create_task(self.crash(2.0))
                await asyncio.sleep(3600)
            await self.stream(request, after, writer)
            self.world.record(f"{self.id} finished {request}")
        finally:
            self.running -= 1

    async def stream(self, request, after, writer):
        writer.write((
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
            f"Response-Signature: s.{request}\r\nWeight-Versions: "
            f"{self.weights}\r\nServer-Load: {self.running},0,{self.slots}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.gap)
            piece = f"id: {number}\ndata: {request}.{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def whole_output(self, request):
        return "\n".join(f"{request}.{n}" for n in range(1, self.events + 1))


# --- Gateways.


class Gateway:
    def __init__(self, world, name, folder):
        self.world, self.name = world, name
        ports = free_ports(5)
        self.callers, self.ready, self.directory, self.nodes, self.metrics = [
            f"127.0.0.1:{port}" for port in ports]
        self.settings = pathlib.Path(folder) / f"{name}.toml"
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.process = None
        self.store = None

    async def start(self, seeds):
        self.store = self.store or \
            await self.world.store.add_endpoint(self.name)
        quoted = ",".join(json.dumps(seed) for seed in seeds)
        self.settings.write_text(f"""
[node]
name = "{self.name}"
zone = "akl-a"
fleet_credential = "kumquatgauge-fleet"
seeds = [{quoted}]

[listen]
callers = "{self.callers}"
readiness = "{self.ready}"
directory = "{self.directory}"
nodes = "{self.nodes}"
metrics = "{self.metrics}"

[store]
address = "{self.store}"
writes_per_second = 400
reads_per_second = 2000

[limits]
memory_mb = 110
max_descriptors = 1000
stop_s = 8
address_ttl_s = 2
""")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        environment = {name: os.environ[name] for name in ("PATH", "HOME",
                       "LANG") if name in os.environ}
        environment["KUMQUATGAUGE_CONFIG"] = str(self.settings)
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment,
            stdout=open(self.log, "ab"), stderr=asyncio.subprocess.STDOUT)
        self.world.record(f"gateway {self.name} started")

    async def is_ready(self):
        status, _, _ = await call(self.ready, "GET", "/api/ready",
                                  [("Host", "ready")], limit=1.0)
        return status == 200

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


# --- A case.


class World:
    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kqg-case-"))
        self.store = Store(self.record)
        self.replicas = []
        self.gateways = []
        self.runs = []  # Ids of the requests that replicas began to run.
        self.services = {}  # The service that ran a request last.

    async def start(self, gateways, replicas, configuration):
        for replica in replicas:
            await replica.start()
        self.replicas = replicas
        await self.store.put("config/main", configuration)
        self.gateways = [Gateway(self, f"front-{at}", self.folder)
                         for at in range(gateways)]
        for gateway in self.gateways:
            await gateway.start([g.nodes for g in self.gateways[:3]])
        until = time.monotonic() + 15
        while not await self.all_know_each_other():
            if time.monotonic() > until:
                raise CannotRun("the gateways are not ready after 15 s")
            await asyncio.sleep(0.2)
        await asyncio.sleep(3.0)  # The store's start is no disruption.

    async def all_know_each_other(self):
        for gateway in self.gateways:
            if not await gateway.is_ready():
                return False
            _, _, body = await call(gateway.directory, "GET",
                                    f"/api/resolve?name={HOST}",
                                    [("Host", HOST)], limit=1.0)
            if body.count(b"127.0.0.1:") != len(self.gateways):
                return False
        return True

    async def end(self):
        for gateway in self.gateways:
            await gateway.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def ask(self, gateway, target, request, prompt, extra=(),
                  limit=6.0):
        """One online request of a client. Returns the status."""
        headers = [("Host", HOST), ("Request-Id", request), ("Model", "m"),
                   ("Token-Usage", "400,60"), ("Prompt-Prefix", prompt),
                   ("Timeout-Ms", "5000")] + list(extra)
        named = "".join(f" {name}: {value}" for name, value in extra)
        self.record(f"client asks {gateway.name} {target} as {request}, "
                    f"prompt {prompt}{named}")
        status, _, body = await call(gateway.callers, "POST", target, headers,
                                     b"question", limit)
        self.record(f"client gets {status} for {request}, {len(body)} bytes")
        return status

    async def begin_stream(self, gateway, target, request, prompt, events):
        """A client reads some events of a stream, then its connection breaks.
        Returns the last id that it has seen; 0 if the stream did not begin."""
        host, port = gateway.callers.rsplit(":", 1)
        seen = 0
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.timeout(5):
                writer.write((
                    f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Request-Id: {request}\r\nModel: m\r\n"
                    f"Token-Usage: 400,60\r\nPrompt-Prefix: {prompt}\r\n"
                    "Timeout-Ms: 5000\r\nContent-Length: 8\r\n\r\n"
                    "question").encode())
                first, _ = await read_head(reader)
                while first.split()[1] == "200" and seen < events:
                    line = await reader.readline()
                    if not line:
                        break
                    if line.startswith(b"id: "):
                        seen = int(line[4:])
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            writer.transport.abort()
        self.record(f"client read {request} at {gateway.name} up to event "
                    f"{seen}, then its connection broke")
        return seen

    async def submit(self, gateway, job, items, prompt_of, folder="/jobs/3/"):
        """Hands a batch job in, as a client does: again after a refusal. The
        items' paths begin with `folder`."""
        body = json.dumps({"items": [{
            "id": item, "path": folder + item,
            "headers": {"Model": "m", "Token-Usage": "400,60",
                        "Prompt-Prefix": prompt_of(item)},
            "body": base64.b64encode(b"tab notes").decode(), "tokens": 460}
            for item in items]}).encode()
        for _ in range(5):
            status, _, _ = await call(
                gateway.callers, "POST", f"/jobs/{job}",
                [("Host", HOST), ("Request-Id", job),
                 ("Content-Type", "application/json")], body)
            self.record(f"client hands {job} with {len(items)} items to "
                        f"{gateway.name}: {status}")
            if status == 202:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f"{job} was not accepted")

    async def results(self, gateway, job):
        """All results that are listed now."""
        listed, total = [], None
        while True:
            status, _, body = await call(
                gateway.callers, "GET", f"/api/lots/{job}?after={len(listed)}",
                [("Host", HOST)])
            if status != 200:
                self.record(f"{gateway.name} answers {status} to a read of "
                            f"{job}")
                return None, None
            page = json.loads(body)
            listed += page["results"]
            total = page["total"]
            if not page["results"]:
                return listed, total

    async def await_finish(self, gateway, job, finish_s):
        """Reads the job until all is listed or finish_s is over. Returns what
        is listed and the number of items."""
        until = time.monotonic() + finish_s
        listed, total = [], None
        while True:
            found, number = await self.results(gateway, job)
            if found is not None:
                if len(found) != len(listed):
                    self.record(f"{gateway.name} lists {len(found)} of "
                                f"{number} results of {job}")
                listed, total = found, number
            if total is not None and len(listed) == total:
                break
            if time.monotonic() > until:
                break
            await asyncio.sleep(0.5)
        return listed, total

    def running(self):
        return sum(replica.running for replica in self.replicas)


def route(name, prefix, kind, service, **extra):
    fields = {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
              "timeout_ms": 5000, "target_latency_ms": 300, "priority": 0,
              "service": service, "max_attempts": 2}
    return fields | extra


def batch_route(service):
    return route("r-jobs", "/jobs/", "batch", service, priority=2,
                 timeout_ms=15000, target_latency_ms=400, max_attempts=3,
                 completion_target_ms=18000, retention_s=60, resumable=True,
                 gap_aim_ms=300, sticky=True)


def stream_route(service, prefix="/ask/"):
    return route("r-ask", prefix, "stream", service, resumable=True,
                 gap_aim_ms=300, sticky=True)


def configuration(version, routes):
    services = sorted({r["service"] for r in routes})
    return {"version": version, "routes": routes, "services": [
        {"name": s, "health_path": "/health", "max_connections": 200,
         "protocol": "h1", "tls": False, "engine": {
             "slots": 8, "kv_capacity_tokens": 72000,
             "models": [{"name": "m"}]}} for s in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def play(folder, case):
    """Plays a case. Exits with 1 if the rule was broken, 0 if it held and 2
    if the case could not run. `case` returns what broke the rule, or None."""

    async def whole():
        # Ended from outside, the case still ends its gateways.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        world = World(folder)
        world.record(f"trouble: {'yes' if TROUBLE else 'no'}")
        try:
            async with asyncio.timeout(110):
                broken = await case(world)
        except (CannotRun, TimeoutError, OSError) as error:
            world.record(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for gateway in world.gateways:
                    shutil.copy(gateway.log, keep)
            await world.end()
        world.record(f"BROKEN: {broken}" if broken else "the rule held")
        print(f"BROKEN: {broken}" if broken else "the rule held")
        return 1 if broken else 0

    try:
        sys.exit(asyncio.run(whole()))
    except asyncio.CancelledError:
        sys.exit(2)
