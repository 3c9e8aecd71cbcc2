"""LOST: a crash of another cause makes a prompt part that all callers share look guilty."""

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
sys.dont_write_bytecode = True
import platform_standins as st

CONTACT_S = 3.0  # contact_ms
DOWN_S = 4.0  # "back after some seconds"
SHARED, BAD = "5c1e07a2:200", "bad0bad0:300"
# ORDINARY=0 leaves the ordinary crash out, and only the part that crashes engines remains.
ORDINARY = os.environ.get("ORDINARY", "1") != "0"


class Fleet:
    def __init__(self, record, store, port):
        self.record, self.store, self.port = record, store, port
        self.engines = {}  # slot: the engine that is there now
        self.starts = 0
        self.began = set()  # ids of requests of which an engine has sent an event
        self.tasks = []

    async def start(self, slot):
        self.starts += 1
        address = (f"{st.NETWORK}.{130 + slot}", self.port)
        engine = st.Engine(self.record, self.store, address, f"d-{slot}-{self.starts}", "model", "decode")
        engine.slot = slot
        engine.run = self.run
        await engine.start()
        self.engines[slot] = engine

    def crash(self, engine, cause):
        """Its connections are reset; it is back after some seconds under another id."""
        self.record(f"{engine.name} crashes: {cause}")
        engine.close_all(is_reset=True)
        self.tasks.append(asyncio.create_task(self.come_back(engine)))

    async def come_back(self, engine):
        await asyncio.sleep(3.6)  # three heartbeats of silence
        self.store.remove(f"servers/{engine.name}")
        await asyncio.sleep(DOWN_S - 3.6)
        await self.start(engine.slot)
        self.record(f"an engine is back at the address of {engine.name}")

    async def run(self, engine, request, reader, writer):
        own_id = request.get("request-id")
        head = ["HTTP/1.1 200 OK", f"Request-Id: {own_id}", f"Response-Stamp: {engine.name}",
                "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        await asyncio.sleep(0.05)
        if BAD.split(":")[0] in request.get("prompt-prefix"):
            self.crash(engine, f"it begins to write on the bad part, request {own_id}")
            return False
        writer.write("\r\n".join(head).encode())
        self.began.add(own_id)
        for number in range(1, 31):
            event = f"id: {number}\ndata: {number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(0.1)
        writer.write(b"0\r\n\r\n")
        return True


class Callers:
    """Callers of one key; each request is sent once, on a connection of its own."""

    def __init__(self, hosts, record):
        self.hosts, self.number, self.tasks, self.record = hosts, 0, [], record
        self.statuses = {}

    def send(self, parts, kind):
        self.number += 1
        own_id = f"{kind}-{self.number}"
        request = (
            f"POST /check/{self.number} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {own_id}\r\nModel: m\r\n"
            f"Token-Count: 1000,2160\r\nPrompt-Prefix: {','.join(parts)},{self.number:08x}:500\r\n"
            "Deadline-Ms: 14000\r\nAuthorization: Token key-of-huka\r\n"
            f"Content-Length: 9\r\n\r\nbody {self.number:04}"
        )
        host = self.hosts[self.number % len(self.hosts)]

        async def ask():
            answer = await st.fetch(host.front, request.encode(), 14, self.record)
            self.statuses[own_id] = answer.status if answer else None

        self.tasks.append(asyncio.create_task(ask()))
        return own_id

    async def sound(self, seconds, per_s):
        """Sends sound requests steadily; returns their ids."""
        ids, end = [], time.monotonic() + seconds
        while time.monotonic() < end:
            ids.append(self.send([SHARED], "sound"))
            await asyncio.sleep(1 / per_s)
        return ids


async def case(record, scratch, hosts):
    net = st.NETWORK
    store = st.Store(record, (f"{net}.200", st.free_port()))
    await store.start()
    # No tenant's limit is to be reached.
    config = st.configuration(rate_per_s=1_000_000, burst=1_000_000)
    store.write("op/config", json.dumps(config).encode())
    port = st.free_port()
    fleet = Fleet(record, store, port)
    for n in range(2):
        engine = st.Engine(record, store, (f"{net}.{120 + n}", port), f"p-{n}", "model", "prefill")
        engine.slot, engine.run = None, fleet.run
        await engine.start()
    for slot in range(4):
        await fleet.start(slot)
    seeds = [f"{net}.{n}:8367" for n in (1, 2, 3)]
    hosts += [st.Host(record, scratch, f"edge-{n}", f"{net}.{n}", seeds, store) for n in (1, 2, 3)]
    for host in hosts:
        host.start()
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(3)
    callers = Callers(hosts, record)

    record("before: 30 sound requests")
    before = await callers.sound(3, 10)
    record("a lull of this route")
    await asyncio.sleep(3.2 + 12)

    record("sound requests, and in them those with the bad part")
    sounding = asyncio.create_task(callers.sound(2.4, 6))
    await asyncio.sleep(0.3)
    if st.TROUBLE:
        for _ in range(3):
            crashed = fleet.starts, sum(engine.is_up for engine in fleet.engines.values())
            callers.send([SHARED, BAD], "bad")
            for _ in range(60):
                await asyncio.sleep(0.01)
                if (fleet.starts, sum(e.is_up for e in fleet.engines.values())) != crashed:
                    break
            await asyncio.sleep(0.3)
    last_crash = time.monotonic()
    await sounding
    if st.TROUBLE and ORDINARY:
        left = [engine for engine in fleet.engines.values() if engine.is_up]
        record(f"engines that are up: {[engine.name for engine in left]}")
        fleet.crash(left[0], "an ordinary crash, one of four engines")
        last_crash = time.monotonic()
    await asyncio.sleep(max(0.0, last_crash + 2 * CONTACT_S - time.monotonic()))

    record("after: sound requests, while those with the bad part still come")
    counting = asyncio.create_task(callers.sound(6, 8))
    bad = 0
    while not counting.done():
        if st.TROUBLE:
            callers.send([SHARED, BAD], "bad")
            bad += 1
        await asyncio.sleep(1)
    after = await counting
    await asyncio.sleep(4)

    def share(ids):
        return sum(own_id in fleet.began for own_id in ids) / len(ids)

    def counts(ids):
        found = [callers.statuses.get(own_id) for own_id in ids]
        return {str(status): found.count(status) for status in set(found)}

    record(f"before: {len(before)} sound requests, share that began {share(before):.2f}, statuses {counts(before)}")
    record(f"after: {len(after)} sound requests, share that began {share(after):.2f}, statuses {counts(after)},"
           f" {bad} requests with the bad part")
    for host in hosts:
        lines = [line for line in host.log().splitlines() if "event=quarantined" in line and "sound" in line]
        for line in lines[:1]:
            record(f"{host.name}'s log, the first of {len(lines)}: {line}")
    if len(before) < 20 or len(after) < 20:
        return 2
    return 1 if share(after) < share(before) / 2 else 0


st.run_case(FOLDER, case)
