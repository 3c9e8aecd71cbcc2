"""LOST: streams that began while the store was down are refused once both hosts of their zone are killed."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-3"))
from standins import ZONES, main, new_id, prompt_headers, read_head, request  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
# To see the cause: the same without the outage of the store.
AWAY = os.environ.get("AWAY") != "0"
HOSTS, STREAMS_PER_S = 6, 18
CONTACT_S, DEADLINE_S = 3.0, 14.0
# Seconds after the hosts are ready and settled.
AWAY_AT_S, AWAY_S, KILL_AT_S, POWER_OFF_S, LOAD_S = 6.0, 4.5, 9.5, 2.0, 18.0
# The pauses of a client before it takes its stream up, unless Retry-After names a longer one.
BACK_OFF_S = (0.5, 1.0, 2.0, 4.0)


class Caller:
    """A client that takes its stream up again a few times, each time after a longer pause."""

    def __init__(self, fleet, home):
        self.fleet, self.home = fleet, home
        self.began_at, self.first, self.last_event = time.monotonic(), None, 0
        self.whole, self.leaves = False, False
        self.attempts = []  # When each was sent, its host, its status, and whether it took events up.

    async def run(self):
        self.headers = prompt_headers()
        await self.attempt(self.home, DEADLINE_S)
        if self.first is None:
            return
        for pause in BACK_OFF_S:
            pause = max(pause, self.attempts[-1]["retry"])
            left = self.began_at + DEADLINE_S - time.monotonic() - pause
            if self.whole or left < 1:
                return
            await asyncio.sleep(pause)
            others = [host for host in self.fleet.hosts if host.zone != self.home.zone]
            await self.attempt(random.choice(others), left)

    async def attempt(self, host, left):
        ident, headers = new_id(), list(self.headers)
        if self.first:
            headers += [("Last-Event-Id", self.last_event), ("Resumes", self.first)]
        row = {"at": time.monotonic(), "host": host, "status": 0, "id": ident, "events": 0, "retry": 0.0}
        self.attempts.append(row)
        self.fleet.record.line(f"sent {ident} to {host.name} resumes {self.first} after {self.last_event}")
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*host.front), 1.0)
            writer.write(request("POST", "/summary/x", ident, int(left * 1_000), headers))
            await asyncio.wait_for(self.receive(reader, row, ident), left)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            pass
        finally:
            if writer:
                writer.close()
        self.fleet.record.line(f"answered {ident} {row['status']} {row['events']} events, whole {self.whole}")

    async def receive(self, reader, row, ident):
        head = await read_head(reader)
        if not head:
            return
        row["status"], fields = int(head[0].split()[1]), head[1]
        row["retry"] = float(fields.get("retry-after", 0))
        if row["status"] != 200:
            return
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                self.whole = True
                return
            for line in chunk.split(b"\n"):
                if line.startswith(b"id: "):
                    self.last_event = int(line[4:])
                    self.first = self.first or ident
                    row["events"] += 1
            if self.leaves and len(self.attempts) == 1:
                return


async def run(fleet):
    record = fleet.record
    await fleet.start_store()
    for number in range(16):
        stage = "prefill" if number < 4 else "decode"
        engine = await fleet.add_engine(f"llm-{number}", "model", ZONES[number % 3], stage=stage,
                                        version=f"v{1 + number % 2}")
        engine.events, engine.event_s = 20, 0.2
    await fleet.start_hosts(HOSTS)
    await asyncio.sleep(5)
    began = time.monotonic()
    callers, tasks = [], []
    zone = [host for host in fleet.hosts if host.zone == ZONES[0]]
    back_at = None

    async def load():
        due = began
        while time.monotonic() < began + LOAD_S:
            due += 1 / STREAMS_PER_S
            await asyncio.sleep(max(0, due - time.monotonic()))
            up = [host for host in fleet.hosts if host.process.returncode is None]
            caller = Caller(fleet, up[len(callers) % len(up)])
            callers.append(caller)
            tasks.append(asyncio.ensure_future(caller.run()))

    async def disrupt():
        nonlocal back_at
        await asyncio.sleep(AWAY_AT_S)
        if TROUBLE and AWAY:
            fleet.store.is_down = True
            record.say("the store is away")
        await asyncio.sleep(KILL_AT_S - AWAY_AT_S)
        if TROUBLE:
            for host in zone:
                host.signal(signal.SIGKILL)
            record.say(f"{[host.name for host in zone]} are killed")
        else:
            for caller in callers:
                caller.leaves = caller.home in zone
            record.say(f"the callers of {[host.name for host in zone]} close their connections")
        await asyncio.sleep(AWAY_AT_S + AWAY_S - KILL_AT_S)
        fleet.store.is_down = False
        back_at = time.monotonic()
        record.say("the store is there")
        await asyncio.sleep(KILL_AT_S + POWER_OFF_S - AWAY_AT_S - AWAY_S)
        if TROUBLE:
            for host in zone:
                await host.process.wait()
                await host.start()

    await asyncio.gather(load(), disrupt())
    await asyncio.gather(*tasks)
    in_touch = back_at + CONTACT_S if TROUBLE else 0
    taken_up, went_on, new, began_new, answers = 0, 0, 0, 0, {}
    for caller in callers:
        first = caller.attempts[0]
        if caller.home not in zone:
            if first["at"] >= back_at + CONTACT_S:
                new += 1
                began_new += first["events"] > 0
            continue
        later = [row for row in caller.attempts[1:] if row["at"] >= in_touch]
        if later:
            taken_up += 1
            went_on += any(row["events"] for row in later)
        for row in later:
            answers[row["status"]] = answers.get(row["status"], 0) + 1
    record.say(f"taken up at hosts in touch: {taken_up} streams, {went_on} of them went on, answers {answers}; "
               f"new there: {new} streams, {began_new} of them began")
    if taken_up < 12 or new < 12:
        return 2
    return 1 if went_on / taken_up < 0.5 * began_new / new else 0


main(run)
