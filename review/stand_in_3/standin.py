"""Stand-ins of the platform's store, of model replicas and of callers.

They speak what the users' pages say, on loopback addresses and the real clock.
Everything runs in one asyncio loop; the gateways are separate processes.
"""

import asyncio
import ctypes
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY = os.path.join(ROOT, "target", "kqg-gateway")
HOST = "h.example"
LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1
TAKEN_PORTS = [0]  # How many have been tried.


def free_port():
    """Returns a port below those that the kernel gives to connections, so that
    none of these takes it before a process listens there. Cases that run at
    the same time look in different ranges."""
    while True:
        port = 12000 + (os.getpid() % 180) * 100 + TAKEN_PORTS[0] % 100
        TAKEN_PORTS[0] += 1
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def end_with_parent():
    """Lets the kernel end a gateway when the case ends, however that does."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the first line and the headers with names in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError):
        return None, {}
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, pieces=None):
    """Chunks are added to `pieces` as they arrive."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            body += chunk
            if pieces is not None:
                pieces.append(chunk)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    try:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        b"\x01\x00\x00\x00\x00\x00\x00\x00")
        writer.transport.abort()
    except (OSError, AttributeError):
        pass


class Store:
    """The platform's store. Reads with stale_ok show what it held `lag`
    seconds ago. `delay(method, kind, name, body)` may return for how long the
    answer to a call that has been carried out is held back."""

    def __init__(self, lag=0.0, answer_s=0.004):
        self.lag = lag
        self.answer_s = answer_s
        self.revision = 10
        self.history = {}  # (kind, name) -> [(time, revision, object or None)]
        self.changed = asyncio.Event()
        self.delay = None
        self.on_write = None
        self.server = None
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0,
                                                 limit=1 << 22)
        self.address = "127.0.0.1:%d" % (
            self.server.sockets[0].getsockname()[1])

    def set(self, kind, name, value):
        self.revision += 1
        if value is not None:
            value["metadata"]["revision"] = self.revision
            value["metadata"]["name"] = name
        entry = (time.monotonic(), self.revision, value)
        self.history.setdefault((kind, name), []).append(entry)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, kind, name, spec):
        self.set(kind, name, {"metadata": {}, "spec": spec})

    def remove(self, kind, name):
        if self.get(kind, name) is not None:
            self.set(kind, name, None)

    def get(self, kind, name, at=None):
        found = None
        for when, _, value in self.history.get((kind, name), []):
            if at is None or when <= at:
                found = value
        return found

    def list(self, kind, at=None):
        items = []
        for key, name in sorted(self.history):
            value = self.get(key, name, at) if key == kind else None
            if value is not None:
                items.append(value)
        return items

    def events(self, kind, since):
        found = []
        for (key, name), entries in self.history.items():
            if key != kind:
                continue
            for _, revision, value in entries:
                if revision > since:
                    shown = value or {"metadata": {"name": name,
                                                   "revision": revision}}
                    found.append((revision, {"object": shown,
                                             "deleted": value is None}))
        return [event for _, event in sorted(found, key=lambda e: e[0])]

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                if not line:
                    break
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, answer, wait = await self.call(method, target, body,
                                                       headers)
                await asyncio.sleep(self.answer_s + wait)
                text = json.dumps(answer).encode()
                writer.write(answer_bytes(
                    status, {"Content-Type": "application/json"}, text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body, headers):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = [unquote(p) for p in
                parts.path.removeprefix("/api/objects/").split("/")]
        kind, name = path[0], path[1] if len(path) > 1 else ""
        value = json.loads(body) if body else {}
        if not name and method == "POST":
            name = value["metadata"]["name"]
        if "watch" in query:
            return await self.watch(kind, query)
        status, answer = self.carry_out(method, kind, name, path, query, value)
        wait = 0.0
        if self.delay:
            wait = self.delay(method, kind, name, value) or 0.0
        if method != "GET" and self.on_write:
            self.on_write(method, kind, name, value, status)
        return status, answer, wait

    async def watch(self, kind, query):
        last = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        since = int(query["watch"])
        while True:
            events = self.events(kind, since)
            left = last - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}, 0.0
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def carry_out(self, method, kind, name, path, query, value):
        at = None
        if query.get("stale_ok") == "1" and self.lag:
            at = time.monotonic() - self.lag
        if method == "GET":
            if not name:
                return 200, {"items": self.list(kind, at), "has_more": False,
                             "as_of": self.revision}
            found = self.get(kind, name, at)
            return (404, {}) if found is None else (200, found)
        current = self.get(kind, name)
        if method == "POST":
            if current is not None:
                return 409, current
            self.set(kind, name, {"metadata": {}, "spec": value.get("spec")})
            return 200, self.get(kind, name)
        if current is None:
            return 404, {}
        expected = value.get("metadata", {}).get("revision")
        if method == "DELETE":
            expected = query.get("revision")
        if (expected is not None
                and int(expected) != current["metadata"]["revision"]):
            return 409, current
        if method == "DELETE":
            self.set(kind, name, None)
            return 200, {}
        if len(path) > 2:
            changed = dict(current, status=value.get("status"))
        else:
            changed = dict(current, spec=value.get("spec"))
        if changed != current:
            changed["metadata"] = {}
            self.set(kind, name, changed)
        return 200, self.get(kind, name)


class Replica:
    """A model replica. `answer(replica, run)` returns how a run goes: a dict
    with `events` (number), `gap_s`, `status`, or `crash`."""

    def __init__(self, store, record, name, answer, service="svc", slots=8,
                 zone="a", beat_s=1.2, version="v1"):
        self.store = store
        self.record = record
        self.name = name
        self.answer = answer
        self.service = service
        self.slots = slots
        self.zone = zone
        self.version = version
        self.beat_s = beat_s
        self.port = free_port()
        self.starts = 0
        self.id = name
        self.born = 0
        self.sequence = 0
        self.server = None
        self.writers = set()
        self.tasks = set()
        self.running = 0
        self.crashes = []
        self.on_crash = None
        self.room = asyncio.Condition()
        self.beating = None

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": self.zone, "version": self.version, "slots": self.slots,
                "state": "ready", "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def start(self):
        self.starts += 1
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, reuse_address=True,
            limit=1 << 22)
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("servers", self.id, self.entry())
            await asyncio.sleep(self.beat_s)

    def stop(self):
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()

    def crash(self, down_s, new_id):
        """Ends at once, and is back after `down_s`, under the id that it had
        unless `new_id`."""
        self.crashes.append(self.record.now())
        self.record.add(f"replica {self.id} crashes")
        self.stop()
        if new_id:
            self.store.remove("servers", self.id)
        asyncio.create_task(self.come_back(down_s, new_id))

    async def come_back(self, down_s, new_id):
        await asyncio.sleep(down_s)
        if new_id:
            self.id = f"{self.name}-{self.starts}"
        await self.start()
        self.record.add(f"replica {self.id} is back")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                line, headers = await read_head(reader)
                if not line:
                    break
                body = await read_body(reader, headers)
                await self.run(line, headers, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def run(self, line, headers, body, writer):
        method, target, _ = line.split(" ")
        number = headers.get("request-id", "")
        common = {"Request-Id": number, "Server-Load":
                  f"{self.running},0,{self.slots}"}
        if headers.get("target-instance", self.id) != self.id:
            writer.write(answer_bytes(421, common, b""))
            await writer.drain()
            return
        if self.running >= self.slots + 24:
            common["Not-Executed"] = "1"
            writer.write(answer_bytes(503, common, b""))
            await writer.drain()
            return
        async with self.room:
            while self.running >= self.slots:
                await self.room.wait()
            self.running += 1
        try:
            run = {"id": number, "method": method, "target": target,
                   "headers": headers, "body": body,
                   "peer": writer.get_extra_info("peername")}
            plan = self.answer(self, run)
            if plan.get("crash"):
                self.crash(plan["crash"], plan.get("new_id", False))
                raise ConnectionError
            await asyncio.sleep(plan.get("first_s", 0.0))
            common["Response-Signature"] = f"sig.{self.id}.{number}"
            if plan.get("status", 200) != 200 or "events" not in plan:
                writer.write(answer_bytes(plan.get("status", 200), common,
                                          plan.get("body", b"x")))
                await writer.drain()
                return
            await self.stream(plan, headers, common, writer)
        finally:
            async with self.room:
                self.running -= 1
                self.room.notify()

    async def stream(self, plan, headers, common, writer):
        common["Content-Type"] = "text/event-stream"
        common["Transfer-Encoding"] = "chunked"
        lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in common.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for event in range(first, plan["events"] + 1):
            text = (f"id: {event}\ndata: {self.version} {self.id} "
                    f"e{event}\n\n").encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            if plan.get("crash_after") == event:
                await asyncio.sleep(0.005)  # The event leaves the host.
                self.crash(plan["down_s"], plan["new_id"])
                raise ConnectionError
            await asyncio.sleep(plan.get("gap_s", 0.01))
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Gateway:
    """A gateway process, with settings as deploy/settings.toml.tmpl has
    them."""

    def __init__(self, folder, name, store, zone="a"):
        self.folder = folder
        self.name = name
        self.store = store
        self.zone = zone
        self.callers = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.directory = f"127.0.0.1:{free_port()}"
        self.nodes = f"127.0.0.1:{free_port()}"
        self.metrics = f"127.0.0.1:{free_port()}"
        self.process = None
        self.log = ""
        self.starts = 0

    def start(self, seeds):
        path = os.path.join(self.folder, self.name + ".toml")
        names = ", ".join(json.dumps(seed) for seed in seeds)
        with open(path, "w", encoding="utf-8") as file:
            file.write(
                f'[node]\nname = "{self.name}"\nzone = "{self.zone}"\n'
                f'fleet_credential = "kumquatgauge-fleet"\n'
                f'seeds = [{names}]\n\n'
                f'[listen]\ncallers = "{self.callers}"\n'
                f'readiness = "{self.ready}"\n'
                f'directory = "{self.directory}"\n'
                f'nodes = "{self.nodes}"\nmetrics = "{self.metrics}"\n\n'
                f'[store]\naddress = "{self.store.address}"\n'
                f'writes_per_second = 400\nreads_per_second = 2000\n\n'
                f'[limits]\nmemory_mb = 260\nmax_descriptors = 4100\n'
                f'stop_s = 8\naddress_ttl_s = 2\n')
        self.starts += 1
        self.log = os.path.join(self.folder, f"{self.name}.{self.starts}.log")
        log = open(self.log, "wb")
        self.process = subprocess.Popen(
            [GATEWAY], stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            cwd=ROOT, preexec_fn=end_with_parent, env={"PATH": os.environ.get("PATH", ""),
                           "HOME": self.folder, "LANG": "C",
                           "KUMQUATGAUGE_CONFIG": path})
        log.close()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


async def call(address, method, target, headers, body=b"", wait_s=5.0,
               pieces=None):
    """Sends one request on a new connection. Returns the status and the body;
    the status is 0 if there is no complete answer. Chunks of the body are added
    to `pieces` as they arrive."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{k}: {v}" for k, v in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, fields = await read_head(reader)
            if not line:
                return 0, b""
            return int(line.split(" ")[1]), await read_body(reader, fields, pieces)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return 0, b""
    finally:
        if writer:
            writer.close()


def route(prefix, kind, **extra):
    fields = {"name": "r" + prefix, "host": HOST, "path_prefix": prefix,
              "kind": kind, "timeout_ms": 5000, "target_latency_ms": 300,
              "priority": 0, "service": "svc", "max_attempts": 2,
              "gap_aim_ms": 300}
    fields.update(extra)
    return fields


def configuration(routes):
    return {"version": 1, "routes": routes,
            "services": [{"name": "svc", "max_connections": 240}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 30000}}


class Fleet:
    """The gateways of a case, in a temporary folder."""

    def __init__(self, store, count):
        self.folder = tempfile.mkdtemp(prefix="kqg-review-")
        self.gateways = [Gateway(self.folder, f"front-{at}", store)
                         for at in range(count)]

    def seeds(self):
        return [gateway.nodes for gateway in self.gateways[:3]]

    async def start(self):
        """Returns whether all gateways are ready."""
        for gateway in self.gateways:
            gateway.start(self.seeds())
        last = time.monotonic() + 15
        for gateway in self.gateways:
            while (await call(gateway.ready, "GET", "/api/ready",
                              {"Host": "x"}, wait_s=1.0))[0] != 200:
                if time.monotonic() > last:
                    print(f"{gateway.name} is not ready; its process: "
                          f"{gateway.process.poll()}")
                    with open(gateway.log, encoding="utf-8") as log:
                        print("".join(log.readlines()[-5:]))
                    return False
                await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)
        return True

    def close(self, keep=False):
        for gateway in self.gateways:
            gateway.kill()
        if not keep:
            for name in os.listdir(self.folder):
                os.unlink(os.path.join(self.folder, name))
            os.rmdir(self.folder)


def run_case(main):
    """Runs a case. Exits with 1 if the rule was broken, with 0 if it held, and
    with 2 if the case could not run."""
    if not os.access(GATEWAY, os.X_OK):
        print("target/kqg-gateway is missing; run the build of the deploy file")
        raise SystemExit(2)

    async def run():
        # Connections that a stand-in ends are no errors.
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, _context: None)
        # So that the gateways end with a case that is stopped.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await main()
        except asyncio.CancelledError:
            return 2

    raise SystemExit(asyncio.run(run()))
