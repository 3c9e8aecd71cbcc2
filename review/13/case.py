"""ORDER: streams join events of two software versions after an engine started again with another one."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-3"))
from standins import ZONES, ask, main, prompt_headers  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
HOSTS, PREFILL_ENGINES, DECODE_ENGINES = 4, 2, 7
STREAMS_PER_S = 4.5  # To each host.
LOAD_S, QUIET_S = 28, 5
DOWN_S, REGISTERS_AFTER_S, UP_S = 1.4, 1.1, 1.4
CRASHES = 2
ALLOWED = 2


async def run(fleet):
    record = fleet.record
    await fleet.start_store()
    for number in range(PREFILL_ENGINES + DECODE_ENGINES):
        stage = "prefill" if number < PREFILL_ENGINES else "decode"
        engine = await fleet.add_engine(f"llm-{number}", "model", ZONES[number % 3], stage=stage)
        engine.event_s, engine.events = 0.1, 40
    await fleet.start_hosts(HOSTS)
    await asyncio.sleep(1)
    stop, tasks, results, joined = time.monotonic() + LOAD_S, set(), {}, []

    async def one(host):
        ident, status, _headers, body = await ask(
            record, host, "POST", f"/summary/{random.getrandbits(40):x}", 14, prompt_headers())
        versions = [line[6:] for line in body.decode().split("\n") if line.startswith("data: ")]
        record.line(f"{ident} got {len(versions)} events of {' then '.join(sorted(set(versions)))}")
        if len(set(versions)) > 1:
            changes = [at for at in range(1, len(versions)) if versions[at] != versions[at - 1]]
            record.say(f"{ident} at {host.name} joins {versions[0]} and {versions[changes[0]]} "
                       f"after event {changes[0]}")
            joined.append(ident)
        results[status] = results.get(status, 0) + 1

    async def load(host):
        due = time.monotonic()
        while time.monotonic() < stop:
            due += random.expovariate(STREAMS_PER_S)
            await asyncio.sleep(max(0, due - time.monotonic()))
            task = asyncio.ensure_future(one(host))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def flap(engine):
        for _turn in range(CRASHES):
            record.say(f"{engine.name} (software {engine.version}) crashes with {engine.running} streams")
            engine.stop()
            await asyncio.sleep(DOWN_S)
            engine.running, engine.holds, engine.handles = 0, {}, {}
            engine.version, engine.born = "v2", int(time.time() * 1_000)
            await engine.listen(*engine.address)
            record.say(f"{engine.name} starts again with software {engine.version}")
            await asyncio.sleep(REGISTERS_AFTER_S)
            engine.register()
            record.say(f"{engine.name} writes its entry")
            await asyncio.sleep(UP_S - REGISTERS_AFTER_S)

    async def trouble():
        for engine in fleet.engines[-2:] if TROUBLE else []:
            await asyncio.sleep(QUIET_S)
            await flap(engine)

    await asyncio.gather(trouble(), *(load(host) for host in fleet.hosts))
    await asyncio.gather(*list(tasks))
    record.say(f"streams by status: {results}")
    record.say(f"{len(joined)} streams hold events of two software versions; the rule allows {ALLOWED}")
    return 1 if len(joined) > ALLOWED else 0


main(run)
