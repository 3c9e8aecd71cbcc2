"""Stand-ins for a review case: the platform's store, engines, clients, and hosts as processes.

Only the standard library is used. Everything listens on loopback addresses. The stand-ins follow
the users' pages (PROTOCOL.md); a case sets what goes wrong.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
# The command and the template of the deploy file.
COMMAND = re.search(r'^run = "(.*)"$', DEPLOY, re.M)[1].split(" ")
TEMPLATE = ROOT / re.search(r'^template = "(.*)"$', DEPLOY, re.M)[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Loopback addresses of this run, so that no two runs share one.
NETWORK = f"127.{random.randrange(16, 200)}.{random.randrange(1, 250)}"


class Record:
    """Writes what happens to record.txt and to standard output."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        print(line, flush=True)
        print(line, file=self.file, flush=True)


class Message:
    """A request or a response that was read."""

    def __init__(self, first, headers, body, complete):
        self.first = first
        self.headers = headers
        self.body = body
        # "length", "chunked", "close", or None if it broke off.
        self.complete = complete

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    """Reads one request; None at the end of the connection."""
    try:
        first, headers = await read_head(reader)
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
        return Message(first, headers, body, "length")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def plain(status, body, headers=()):
    """A complete response with a length."""
    reason = {200: "OK", 202: "Accepted"}.get(status, "X")
    lines = [f"HTTP/1.1 {status} {reason}", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def as_json(status, value, headers=()):
    return plain(status, json.dumps(value).encode(), ("Content-Type: application/json", *headers))


def reset(writer):
    """Closes a connection with a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: keys, ranges, watches, transactions and leases."""

    def __init__(self, record, address, history_s=20):
        self.record = record
        self.address = address
        self.items = {}  # key: (value in base64, revision, created, lease)
        self.events = []
        self.revision = 10
        self.compacted = 10
        self.era = 0
        self.leases = {}  # lease: (ttl in s, end)
        self.next_lease = 1000
        self.is_down = False
        self.changed = asyncio.Event()
        self.on_restore = []
        self.writers = []
        self.server = None

    async def start(self):
        host, port = self.address
        self.server = await asyncio.start_server(self.serve, host, port)
        self.sweeper = asyncio.create_task(self.sweep())

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, value, lease=0):
        """Writes without a condition, as the operator and the engines do."""
        self.revision += 1
        text = base64.b64encode(value).decode()
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (text, self.revision, created, lease)
        self.events.append((self.revision, key, self.item(key)))
        self.notify()

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            event = {"key": key, "revision": self.revision, "removed": True}
            self.events.append((self.revision, key, event))
            self.notify()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": value, "revision": revision, "created": created, "lease": lease}

    def copy(self):
        return dict(self.items), self.revision

    def restore(self, copy):
        """Comes back from a copy; the operator and the engines write again what they wrote."""
        self.items, self.revision = dict(copy[0]), copy[1]
        self.items = {k: v for k, v in self.items.items() if not v[3]}  # leases are gone
        self.events, self.compacted = [], self.revision
        self.leases = {}
        self.era += 1
        self.notify()
        for again in self.on_restore:
            again()

    async def sweep(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_ttl, end) in list(self.leases.items()):
                if now > end:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if self.is_down:
                    return
                response = await self.respond(request)
                if self.is_down:
                    return
                head, rest = response.split(b"\r\n", 1)
                writer.write(head + f"\r\nStore-Era: {self.era}\r\n".encode() + rest)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def go_down(self):
        """Every open connection is reset and new ones are closed."""
        self.is_down = True
        for writer in self.writers:
            reset(writer)
        self.writers.clear()

    async def respond(self, request):
        method, target, _version = request.first.split(" ")
        path, _, query = target.partition("?")
        query = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
        if path == "/api/kv-key":
            if query["key"] not in self.items:
                return as_json(404, {})
            return as_json(200, {**self.item(query["key"]), "as_of": self.revision})
        if path == "/api/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            items = [self.item(key) for key in keys]
            return as_json(200, {"items": items, "truncated": False, "as_of": self.revision})
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return self.transact(json.loads(request.body))
        if path == "/api/kv-lease":
            ttl_ms = max(1000, json.loads(request.body)["ttl_ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
            return as_json(200, {"lease": self.next_lease, "ttl_ms": ttl_ms})
        number = int(path.rsplit("/", 1)[1])
        if path.startswith("/api/kv-keep/"):
            if number not in self.leases:
                return as_json(404, {})
            ttl, _end = self.leases[number]
            self.leases[number] = (ttl, time.monotonic() + ttl)
            return as_json(200, {"ttl_ms": int(ttl * 1000)})
        self.end_lease(number)
        return as_json(200, {})

    async def watch(self, query):
        after, prefix, era = int(query["after"]), query["prefix"], self.era
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.compacted or after > self.revision or era != self.era:
                return as_json(410, {})
            found = [e for r, k, e in self.events if r > after and k.startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                return as_json(200, {"events": found, "as_of": self.revision})
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body["expected"]:
            known = self.items.get(row["key"])
            if (known[1] if known else 0) != row["revision"]:
                items = [self.item(r["key"]) for r in body["expected"] if r["key"] in self.items]
                return as_json(412, {"items": items})
        for write in body["writes"]:
            if write["lease"] and write["lease"] not in self.leases:
                return as_json(404, {})
        for write in body["writes"]:
            self.write(write["key"], base64.b64decode(write["value"]), write["lease"])
            if write["key"].startswith("damaskhatch/orders"):
                value = base64.b64decode(write["value"]).decode()
                self.record(f"store: era {self.era}, revision {self.revision}: {write['key']} = {value!r}")
        for key in body.get("deletes", []):
            self.remove(key)
        return as_json(200, {"revision": self.revision})


class Engine:
    """A server of a plain or a model service, which registers itself in the store.

    `respond` of a subclass or a case says what it does with a request that it runs.
    """

    def __init__(self, record, store, address, name, service, stage=None, slots=12, version="v1"):
        self.record = record
        self.store = store
        self.address = address
        self.name = name
        self.service = service
        self.stage = stage
        self.slots = slots
        self.version = version
        self.state = "ready"
        self.seq = 0
        self.orders = []
        self.is_busy = False
        self.runs = []  # (time, request id)
        self.born = int(time.time() * 1000)
        self.server = None
        self.writers = set()
        self.is_up = False
        self.run = None
        self.reconfig_s = 6.0
        self.on_order = None
        self.serial = 0

    def entry(self):
        entry = {
            "service": self.service, "address": "%s:%d" % self.address, "zone": "zone-a",
            "version": self.version, "slots": self.slots, "state": self.state, "cold_left_ms": 0,
            "seq": self.seq, "born": self.born,
        }
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return json.dumps(entry).encode()

    def register(self):
        self.seq += 1
        self.store.write(f"servers/{self.name}", self.entry())

    async def start(self, is_registered=True):
        """Listens, and registers at once or at its first heartbeat."""
        host, port = self.address
        self.server = await asyncio.start_server(self.serve, host, port)
        self.is_up = True
        if is_registered:
            self.register()
        self.beater = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            if self.is_up and not self.store.is_down:
                self.register()

    def close_all(self, is_reset):
        """Ends the process: all its connections and its listener close."""
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            if is_reset:
                reset(writer)
            else:
                writer.close()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not self.is_up:
                    return
                if not await self.handle(request, reader, writer):
                    return
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        """Answers a request; returns whether the connection is kept."""
        method, target, _version = request.first.split(" ")
        expected = request.get("expect-instance")
        own = [f"Instance-Id: {self.name}"]
        if expected and expected != self.name:
            writer.write(plain(421, b"", own))
            return True
        if target == "/api/order":
            answer = await self.order(json.loads(request.body))
            if answer is None:
                return False
            writer.write(answer)
            return True
        if target == "/api/hold-take":
            self.serial += 1
            writer.write(as_json(200, {"hold": f"h{self.serial}"}))
            return True
        if method == "DELETE":
            writer.write(as_json(200, {}))
            return True
        own_id = request.get("request-id")
        head = [f"Request-Id: {own_id}"]
        if self.is_busy:
            writer.write(plain(503, b"", [*head, "Not-Executed: 1"]))
            return True
        if request.get("serving-stage") == "prefill":
            if self.stage != "prefill":
                writer.write(plain(421, b"", head))
                return True
            self.serial += 1
            handle = f"kv{self.serial}"
            writer.write(as_json(200, {"kv_handle": handle, "tokens": 100, "version": 1}, head))
            return True
        if self.stage == "prefill":
            writer.write(plain(421, b"", head))
            return True
        self.runs.append((time.monotonic(), own_id))
        self.record(f"{self.name} runs {own_id}: {request.first}"
                    f" last-event-id={request.get('last-event-id', 'none')}")
        return await self.run(self, request, reader, writer)

    async def order(self, body):
        self.orders.append((time.monotonic(), body))
        self.record(f"{self.name} gets an order: {json.dumps(body)}")
        if self.is_busy:
            return as_json(409, {})
        if body["stage"] == self.stage:
            return as_json(200, {})
        asyncio.create_task(self.carry_out(body["stage"]))
        return as_json(202, {})

    async def carry_out(self, stage):
        self.is_busy = True
        await asyncio.sleep(self.reconfig_s)
        self.is_busy = False
        self.stage = stage
        self.register()


class Host:
    """A process of the deploy file's command, with the settings that the template makes."""

    def __init__(self, record, folder, name, ip, seeds, store, domains=("zone-a",), domain="zone-a"):
        self.record = record
        self.name = name
        self.ip = ip
        self.front, self.ready, self.control = (ip, 8360), (ip, 8365), (ip, 8367)
        values = {
            "{{node}}": name, "{{zone}}": domain, "{{#zones}}{{@}}{{,}}{{/zones}}": ",".join(domains),
            "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}": ",".join(f"{d}:region" for d in domains),
            "{{listen.front}}": f"{ip}:8360", "{{listen.ready}}": f"{ip}:8365",
            "{{listen.control}}": f"{ip}:8367", "{{ip}}": ip, "{{seeds}}": ",".join(seeds),
            "{{provider.address}}": "%s:%d" % store.address, "{{bounds.grace_s}}": "8",
            "{{bounds.quota_slack}}": "120000",
        }
        text = TEMPLATE.read_text(encoding="utf-8")
        for placeholder, value in values.items():
            text = text.replace(placeholder, value)
        assert "{{" not in text, text
        self.settings = pathlib.Path(folder) / f"{name}.conf"
        self.settings.write_text(text, encoding="utf-8")
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["DAMASKHATCH_CONFIG"] = str(self.settings)
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record(f"{self.name} starts as a process of {COMMAND[0]} at {self.ip}")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    def log(self):
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    async def wait_ready(self, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answer = await fetch(self.ready, b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1)
            if answer and answer.complete and answer.status == 200:
                self.record(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")


async def read_response(reader, limit):
    """Reads a whole response; `complete` is None if it broke off, as a client can see."""
    end = time.monotonic() + limit

    def left():
        return max(0.01, end - time.monotonic())

    try:
        first, headers = await asyncio.wait_for(read_head(reader), left())
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError, asyncio.LimitOverrunError):
        return None
    body, complete = b"", None
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await asyncio.wait_for(reader.readline(), left())).strip() or b"x", 16)
                if size == 0:
                    await asyncio.wait_for(reader.readline(), left())
                    complete = "chunked"
                    break
                body += await asyncio.wait_for(reader.readexactly(size), left())
                await asyncio.wait_for(reader.readexactly(2), left())
        elif "content-length" in headers:
            body = await asyncio.wait_for(reader.readexactly(int(headers["content-length"])), left())
            complete = "length"
        else:
            while part := await asyncio.wait_for(reader.read(65536), left()):
                body += part
            complete = "close"
    except asyncio.IncompleteReadError as error:
        body += error.partial
    except (ConnectionError, asyncio.TimeoutError, ValueError):
        pass
    return Message(first, headers, body, complete)


async def fetch(address, request, limit, record=None):
    """Sends a request on a connection of its own; None if there is no answer."""
    own_id = re.search(rb"\r\nRequest-Id: (\S+)", request)
    own_id = own_id[1].decode() if own_id else ""
    if record:
        record(f"a client sends {own_id} to {address[0]}: {request.splitlines()[0].decode()}")
    answer = await exchange(address, request, limit)
    if record:
        record(f"the client of {own_id} gets " + ("no answer" if answer is None else
               f"{answer.first}, {len(answer.body)} bytes, end: {answer.complete or 'broken off'}"))
    return answer


async def exchange(address, request, limit):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        writer.write(request)
        await writer.drain()
        return await read_response(reader, limit)
    except ConnectionError:
        return None
    finally:
        writer.close()


def configuration(version=1, **tenant):
    """A small deployment: a plain service and a model service."""
    def route(name, prefix, kind, service, timeout_ms, **more):
        return {"name": name, "hostname": "app.example", "prefix": prefix, "kind": kind,
                "timeout_ms": timeout_ms, "slo_ms": 300 if service == "app" else 900, "priority": 1,
                "service": service, "max_attempts": 2, "anonymous": False, "sticky": service != "app",
                "resumable": False, **more}
    return {
        "version": version,
        "routes": [
            route("book", "/book/", "non_idempotent", "app", 2000, max_attempts=1),
            route("look", "/look/", "idempotent", "app", 2000),
            route("summary", "/summary/", "streaming", "model", 14000, resumable=True, gap_target_ms=300),
            route("check", "/check/", "streaming", "model", 14000, max_attempts=1, gap_target_ms=300),
        ],
        "services": [
            {"name": "app", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": False},
            {"name": "model", "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": False,
             "engine": {"slots": 12, "kv_capacity": 80233, "token_bytes": 35136, "link_mbps": 8800000.0,
                        "moves": True, "replicas": True, "stride": 72, "most": 12, "kv_ttl_s": 0.5,
                        "reconfig_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}},
        ],
        "limits": {"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_ms": 15000},
        "tenants": [{"name": "huka", "api_keys": ["key-of-huka"], "priority": 1, "unit": "token_stream",
                     "plain_tokens": 200, "rate_per_s": 88645, "burst": 88645, **tenant}],
    }


def free_port():
    with socket.socket() as probe:
        probe.bind((f"{NETWORK}.1", 0))
        return probe.getsockname()[1]


def run_case(folder, case):
    """Runs a case, ends all processes, and exits with its result: 0 held, 1 broken, 2 could not run."""
    record = Record(folder)
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    hosts = []
    code = 2
    with tempfile.TemporaryDirectory() as scratch:
        try:
            code = asyncio.run(asyncio.wait_for(case(record, scratch, hosts), 110))
        except Exception as error:  # the case could not run
            record(f"the case could not run: {error!r}")
        finally:
            for host in hosts:
                host.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for host in hosts:
                    pathlib.Path(keep, host.log_path.name).write_text(host.log())
    record({0: "the rule held", 1: "the rule is broken", 2: "the case could not run"}[code])
    sys.stdout.flush()
    # Tasks of the stand-ins that are still waiting are not cleaned up one by one.
    os._exit(code)
