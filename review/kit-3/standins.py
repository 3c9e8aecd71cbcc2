"""Stand-ins of the platform's store, engines and clients, and starters of the hosts, for the scripts.

They speak what PROTOCOL.md says, on loopback addresses, over plain asyncio streams. Where the page
is silent they behave soundly. Everything that is sent, answered and run goes to a Record.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import deque
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "damaskhatch-edge")
TEMPLATE = os.path.join(ROOT, "deploy", "host.ini")
ZONES = ["zone-a", "zone-b", "zone-c"]
HOSTNAME = "app.example"
KEY = "key-of-huka"
KV_CAPACITY = 80_233
PREFILL_TOKENS_PER_S = 55_555


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")
        self.counts = {}

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def say(self, text):
        self.line(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def close(self):
        for what in sorted(self.counts):
            self.say(f"count {what}: {self.counts[what]}")
        self.file.close()


# --- HTTP ---------------------------------------------------------------------------------------


async def read_head(reader):
    """Reads a head; returns its first line and its headers by lowercase name, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def json_response(status, value, headers=()):
    headers = [("Content-Type", "application/json"), *headers]
    return response(status, json.dumps(value).encode(), headers)


class Server:
    """An HTTP server; `serve` answers one request, and returns False to close the connection."""

    def __init__(self):
        self.server = None
        self.tasks = set()

    async def listen(self, ip, port):
        self.address = (ip, port)
        self.server = await asyncio.start_server(self.accept, ip, port, limit=1 << 20)

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while head := await read_head(reader):
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                if not await self.serve(method, target, headers, body, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            try:
                writer.close()
            except OSError:
                pass

    def stop(self):
        """Ends the server as a kill of its process does."""
        if self.server:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()


# --- Store --------------------------------------------------------------------------------------


class Store(Server):
    """The platform's metadata store: linearizable, with leases and watches."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 100
        self.era = 1
        self.items = {}
        self.history = deque(maxlen=20_000)
        self.dropped = 0
        self.leases = {}
        self.next_lease = 7_000
        self.changed = asyncio.Event()
        self.is_down = False

    def snapshot(self):
        return (self.revision, dict(self.items), dict(self.leases), deque(self.history, 20_000))

    def restore(self, copy):
        """Comes back from an older copy, in the next era."""
        self.revision, self.items, self.leases, self.history = copy
        self.history = deque(self.history, 20_000)
        self.dropped = self.revision
        self.era += 1

    def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "revision": self.revision, "removed": True})

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """A write of an operator or an engine, which have their own way to the store."""
        self.write(key, base64.b64encode(json.dumps(value).encode()).decode())
        self.wake()

    def remove(self, key):
        self.delete(key)
        self.wake()

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (until, _) in self.leases.items() if until < now]:
            del self.leases[lease]
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                self.delete(key)
            self.wake()

    async def serve(self, method, target, headers, body, reader, writer):
        while self.is_down:
            await asyncio.sleep(0.02)
        self.expire()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        self.record.count(f"store {method} {parts.path.split('/')[2]}")
        status, value = await self.answer(method, parts.path, query, body)
        writer.write(json_response(status, value, [("Store-Era", self.era)]))
        await writer.drain()
        return True

    async def answer(self, method, path, query, body):
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"as_of": self.revision}) if item else (404, {})
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            keys = [key for key in keys if key > query.get("after", "")]
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "truncated": len(keys) > 500, "as_of": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return self.transact(json.loads(body))
        if path == "/api/kv-lease":
            ttl = min(max(json.loads(body)["ttl_ms"], 1_000), 600_000)
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1_000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        name, _, number = path.removeprefix("/api/").partition("/")
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        if name == "kv-keep":
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1_000, ttl)
            return 200, {"ttl_ms": ttl}
        self.leases[lease] = (0, 0)
        self.expire()
        return 200, {}

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1_000
        while True:
            if after < self.dropped or after > self.revision:
                return 410, {}
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            self.expire()

    def transact(self, call):
        expected = call.get("expected", [])
        current = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(current(row["key"]) != row["revision"] for row in expected):
            items = [self.items[row["key"]] for row in expected if row["key"] in self.items]
            return 412, {"items": items}
        for write in call.get("writes", []):
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in call.get("writes", []):
            self.write(write["key"], write["value"], write.get("lease", 0))
        for key in call.get("deletes", []):
            self.delete(key)
        self.wake()
        return 200, {"revision": self.revision}


# --- Engines ------------------------------------------------------------------------------------


class Engine(Server):
    """An engine of a model service, or a server of a plain one (without a stage)."""

    def __init__(self, record, store, name, service, zone, stage=None, version="v1", slots=12):
        super().__init__()
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.stage, self.version, self.slots = stage, version, slots
        self.born = int(time.time() * 1_000)
        self.running = 0
        self.prefills = asyncio.Lock()
        self.handles, self.holds = {}, {}
        self.limit = None
        self.answers_limit_since = None
        self.arrivals = []
        self.orders = []
        self.work_s = 0.06
        self.event_s, self.events = 0.25, 20
        self.seq = 0

    def entry(self, state="ready"):
        entry = {
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone, "version": self.version, "slots": self.slots, "state": state,
            "cold_left_ms": 0, "seq": self.seq, "born": self.born,
        }
        if self.stage:
            entry |= {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}]}
        return entry

    def register(self, state="ready"):
        self.store.put(f"servers/{self.name}", self.entry(state))

    def common(self, headers):
        own = [("Response-Stamp", f"stamp-{self.name}"), ("Keep-Alive", "timeout=5"),
               ("Instance-Load", f"{self.running},0,{self.slots}")]
        if "request-id" in headers:
            own.append(("Request-Id", headers["request-id"]))
        if self.limit is not None:
            own.append(("Server-Limit", self.limit))
            if self.answers_limit_since is None:
                self.answers_limit_since = time.monotonic()
                self.record.say(f"{self.name} names Server-Limit {self.limit}")
        return own

    async def serve(self, method, target, headers, body, reader, writer):
        async def send(data):
            writer.write(data)
            await writer.drain()
            return True

        if headers.get("expect-instance", self.name) != self.name:
            return await send(response(421, b"", [("Instance-Id", self.name)]))
        if target.startswith("/api/"):
            return await send(self.control(method, target, headers, body))
        ident = headers.get("request-id", "")
        stage = headers.get("serving-stage")
        self.arrivals.append((time.monotonic(), ident, stage or self.stage))
        self.record.line(f"reaches {self.name} request {ident} stage={stage}")
        if stage == "prefill":
            if self.stage != "prefill":
                return await send(response(421, b"", [*self.common(headers), ("Not-Executed", "1")]))
            prompt = int(headers["token-count"].split(",")[0])
            async with self.prefills:
                await asyncio.sleep(prompt / PREFILL_TOKENS_PER_S)
            handle = f"{random.getrandbits(48):012x}"
            self.handles[handle] = time.monotonic() + 0.5
            value = {"kv_handle": handle, "tokens": prompt, "version": 1}
            return await send(json_response(200, value, self.common(headers)))
        if self.stage == "prefill":
            return await send(response(421, b"", [*self.common(headers), ("Not-Executed", "1")]))
        if self.stage == "decode":
            return await self.stream(headers, reader, writer)
        if self.running >= self.slots + 24:
            return await send(response(503, b"", [*self.common(headers), ("Not-Executed", "1")]))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.record.line(f"runs {ident} at {self.name}")
        return await send(response(200, b"x" * 800, self.common(headers)))

    async def stream(self, headers, reader, writer):
        ident = headers.get("request-id", "")
        self.holds.pop(headers.get("kv-hold"), None)
        if self.running >= self.slots:
            writer.write(response(503, b"", [*self.common(headers), ("Not-Executed", "1")]))
            await writer.drain()
            return True
        lines = "".join(f"{name}: {value}\r\n" for name, value in self.common(headers))
        self.record.line(f"runs {ident} at {self.name} version {self.version}")
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
                      f"Transfer-Encoding: chunked\r\n{lines}\r\n").encode())
        self.running += 1
        left = asyncio.ensure_future(reader.read(1))
        try:
            first = int(headers.get("last-event-id", "0")) + 1
            for number in range(first, self.events + 1):
                if left.done():
                    return False
                event = f"id: {number}\ndata: {self.version}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                # It drops the request as soon as its connection is closed.
                await asyncio.wait({left}, timeout=self.event_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            left.cancel()
            self.running -= 1
        return False

    def control(self, method, target, headers, body):
        now = time.monotonic()
        self.holds = {name: until for name, until in self.holds.items() if until > now}
        own = self.common(headers)
        if target == "/api/hold-take":
            if self.running + len(self.holds) >= self.slots:
                return response(503, b"", own)
            call = json.loads(body)
            name = f"{random.getrandbits(48):012x}"
            self.holds[name] = now + min(call["ttl_ms"], 2_000) / 1_000
            return json_response(200, {"hold": name}, own)
        if target.startswith("/api/hold-drop/"):
            self.holds.pop(target.rsplit("/", 1)[1], None)
            return response(200, b"", own)
        if target.startswith("/api/kv-handle/"):
            self.handles.pop(target.rsplit("/", 1)[1], None)
            return response(200, b"", own)
        if target == "/api/order":
            order = json.loads(body)
            self.orders.append((now, order["holder"], order["fencing_token"], order["stage"]))
            self.record.say(f"order at {self.name}: {order}")
            self.seq += 1
            return json_response(202, {}, own)
        return response(404, b"", own)


# --- Hosts --------------------------------------------------------------------------------------


def render(text, fields):
    """Fills in the subset of the platform's template language that deploy/host.ini uses."""
    import re

    zones = fields["zones"]
    def section(match):
        inner = match.group(1)
        texts = []
        for place, (name, region) in enumerate(zones.items()):
            comma = "," if place < len(zones) - 1 else ""
            texts.append(inner.replace("{{@}}", name).replace("{{.}}", region).replace("{{,}}", comma))
        return "".join(texts)

    text = re.sub(r"\{\{#zones\}\}(.*?)\{\{/zones\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(fields[match.group(1)]), text)


class Host:
    """A process of the deploy file's role, with its own loopback address."""

    def __init__(self, folder, number, ip, zone, store, seeds):
        self.name, self.ip, self.zone = f"edge-{number}", ip, zone
        self.folder, self.process = folder, None
        self.front, self.ready, self.control = (ip, 8360), (ip, 8365), (ip, 8367)
        fields = {
            "node": self.name, "zone": zone, "zones": {name: "region-1" for name in ZONES},
            "listen.front": f"{ip}:8360", "listen.ready": f"{ip}:8365", "listen.control": f"{ip}:8367",
            "ip": ip, "seeds": ",".join(seeds), "provider.address": f"{store[0]}:{store[1]}",
            "bounds.grace_s": 8, "bounds.quota_slack": 120_000,
        }
        self.settings = os.path.join(folder, f"{self.name}.ini")
        with open(self.settings, "w") as file:
            file.write(render(open(TEMPLATE).read(), fields))

    async def start(self):
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ["PATH"], "DAMASKHATCH_CONFIG": self.settings}
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        except OSError:
            return False

    def log(self):
        return open(os.path.join(self.folder, f"{self.name}.log"), errors="replace").read()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


def free_block():
    """A part of 127/8 that no other process listens in, from the process's id."""
    base = os.getpid()
    for step in range(200):
        high, low = 64 + (base + step) % 128, (base // 128 + step) % 256
        try:
            with socket.socket() as probe:
                probe.bind((f"127.{high}.{low}.250", 8360))
            return f"127.{high}.{low}"
        except OSError:
            continue
    raise OSError("no free block of loopback addresses")


def config(version, further=None):
    """The configuration with a plain and a model service, as on the sheets of the small deployments."""
    route = lambda name, prefix, kind, service, **more: {
        "name": name, "hostname": HOSTNAME, "prefix": prefix, "kind": kind, "priority": 1,
        "service": service, "anonymous": False, "sticky": False, "resumable": False, **more}
    value = {
        "version": version,
        "routes": [
            route("book", "/book/", "non_idempotent", "app", timeout_ms=2_000, slo_ms=300, max_attempts=1),
            route("look", "/look/", "idempotent", "app", timeout_ms=2_000, slo_ms=300, max_attempts=2),
            route("summary", "/summary/", "streaming", "model", timeout_ms=14_000, slo_ms=900,
                  max_attempts=2, resumable=True, sticky=True, gap_target_ms=300),
            route("check", "/check/", "streaming", "model", timeout_ms=14_000, slo_ms=900,
                  max_attempts=1, sticky=True, gap_target_ms=300),
        ],
        "services": [
            {"name": "app", "health_path": "/health", "max_conns": 440, "protocol": "h1", "tls": False},
            {"name": "model", "health_path": "/health", "max_conns": 496, "protocol": "h1", "tls": False,
             "engine": {"slots": 12, "kv_capacity": KV_CAPACITY, "token_bytes": 35_136,
                        "link_mbps": 8_800_000.0, "moves": True, "replicas": True, "stride": 72,
                        "most": 12, "kv_ttl_s": 0.5, "reconfig_s": 6.0, "pin_ms": 4000.0,
                        "hold_ms": 2000.0, "models": [{"name": "m"}]}},
        ],
        "limits": {"header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
                   "idle_ms": 15_000},
        "tenants": [{"name": "huka", "api_keys": [KEY], "priority": 1, "unit": "token_stream",
                     "plain_tokens": 200, "rate_per_s": 3_000_000, "burst": 3_000_000}],
    }
    return value | (further or {})


# --- Clients ------------------------------------------------------------------------------------

_serial = 0


def new_id():
    global _serial
    _serial += 1
    return f"{os.getpid():06x}{_serial:010x}"


def request(method, path, ident, deadline_ms, headers=(), body=b"", key=KEY):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOSTNAME}", f"Request-Id: {ident}",
             f"Deadline-Ms: {deadline_ms}", f"Authorization: Token {key}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def ask(record, host, method, path, deadline_s=4.0, headers=(), body=b"", key=KEY, ident=None):
    """Sends a request on a connection of its own; returns the status (0 without one), headers and body."""
    ident = ident or new_id()
    record.line(f"sent {ident} {method} {path} to {host.name}")
    status, found, content = 0, {}, b""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*host.front), 1.0)
    except (OSError, asyncio.TimeoutError):
        record.line(f"no connection for {ident}")
        return ident, status, found, content
    try:
        writer.write(request(method, path, ident, int(deadline_s * 1_000), headers, body, key))
        async def receive():
            nonlocal status, found, content
            head = await read_head(reader)
            if head:
                status, found = int(head[0].split()[1]), head[1]
                content = await read_body(reader, head[1])
        await asyncio.wait_for(receive(), deadline_s)
    except asyncio.TimeoutError:
        record.line(f"no whole answer in time for {ident}")
    except (OSError, asyncio.IncompleteReadError, ValueError):
        record.line(f"broken off {ident}")
        status = -status
    finally:
        writer.close()
    record.line(f"answered {ident} {status} {len(content)} bytes")
    return ident, status, found, content


def prompt_headers(prompt=5_200, output=70, parts=None):
    own = f"{random.getrandbits(32):08x}:{prompt - 200}"
    shared = f"{random.randrange(2_000):08x}:200"
    return [("Model", "m"), ("Token-Count", f"{prompt},{output}"),
            ("Prompt-Prefix", ",".join(parts or [shared, own]))]


class Fleet:
    """The store, the engines and the hosts of one run."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="damaskhatch-review-")
        self.block = free_block()
        self.store = Store(self.record)
        self.engines, self.hosts = [], []

    async def start_store(self):
        await self.store.listen(f"{self.block}.200", 8361)
        self.store.put("op/config", config(1))

    async def add_engine(self, name, service, zone, **more):
        engine = Engine(self.record, self.store, name, service, zone, **more)
        port = 9_000 + len(self.engines)
        await engine.listen(f"{self.block}.201", port)
        engine.register()
        self.engines.append(engine)
        return engine

    async def start_hosts(self, count):
        seeds = [f"{self.block}.{1 + number}:8367" for number in range(min(3, count))]
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            host = Host(self.folder, number + 1, f"{self.block}.{1 + number}", zone,
                        self.store.address, seeds)
            self.hosts.append(host)
            await host.start()
        await self.wait_ready()

    async def wait_ready(self, timeout=20):
        until = time.monotonic() + timeout
        while not all([await host.is_ready() for host in self.hosts]):
            if time.monotonic() > until:
                raise RuntimeError("a host is not ready in time")
            await asyncio.sleep(0.1)
        self.record.say("all hosts are ready")

    async def stop(self):
        for host in self.hosts:
            await host.kill()
        for engine in self.engines:
            engine.stop()
        self.store.stop()


def main(run):
    """Runs a case; exits with its verdict, or with 2 if it could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    fleet = Fleet(os.path.join(folder, "record.txt"))

    async def whole():
        try:
            return await asyncio.wait_for(run(fleet), 115)
        finally:
            await fleet.stop()

    try:
        code = asyncio.run(whole())
    except Exception as error:  # Whatever stops the case, it is no verdict.
        fleet.record.say(f"could not run: {error!r}")
        code = 2
    fleet.record.say(f"exit {code}")
    fleet.record.close()
    if os.environ.get("KEEP"):
        print("logs in", fleet.folder)
    else:
        import shutil
        shutil.rmtree(fleet.folder, ignore_errors=True)
    sys.exit(code)
