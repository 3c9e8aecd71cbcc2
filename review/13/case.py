"""CONFIG: a host that starts right after a drill of the store accepts a key that was taken away."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-3"))
from standins import ZONES, ask, config, main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
HOSTS, ROUNDS = 3, 3
REVOKE_S = 5.0
# From the acknowledgement of the revocation.
AWAY_AT_S, AWAY_S, START_AFTER_S, WRITTEN_AGAIN_AT_S = 4.9, 0.3, 0.5, 6.2


async def run(fleet):
    record = fleet.record
    await fleet.start_store()
    for number in range(3):
        server = await fleet.add_engine(f"app-{number}", "app", ZONES[number], slots=100)
        server.work_s = 0.005
    await fleet.start_hosts(HOSTS)
    version, broken = 1, []

    def write(keys):
        value = config(version)
        value["tenants"][0]["api_keys"] = keys
        fleet.store.put("op/config", value)

    async def probe(host, key, acknowledged, until):
        tasks = []

        async def one():
            sent_at = time.monotonic()
            ident, status, _headers, _body = await ask(record, host, "GET", "/look/x", key=key)
            results[status] = results.get(status, 0) + 1
            if sent_at > acknowledged + REVOKE_S:
                sent[ident] = sent_at - acknowledged

        while time.monotonic() < until:
            tasks.append(asyncio.ensure_future(one()))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)

    for turn in range(ROUNDS):
        key, sent, results = f"key-of-round-{turn}", {}, {}
        version += 1
        write(["kept", key])
        await asyncio.sleep(3)
        _ident, status, _headers, _body = await ask(record, fleet.hosts[0], "GET", "/look/x", key=key)
        if status != 200:
            raise RuntimeError(f"the key is not accepted before it is taken away: {status}")
        copy = fleet.store.snapshot()
        await asyncio.sleep(0.3)
        version += 1
        write(["kept"])
        acknowledged = time.monotonic()
        record.say(f"{key} is taken away by version {version}")
        host = fleet.hosts[turn % HOSTS]
        await asyncio.sleep(AWAY_AT_S)
        if TROUBLE:
            fleet.store.is_down = True
            record.say(f"the store is away, {host.name} is killed")
        else:
            record.say(f"{host.name} is killed")
        await host.kill()
        await asyncio.sleep(AWAY_S)
        if TROUBLE:
            fleet.store.restore(copy)
            fleet.store.is_down = False
            record.say(f"the store is back from a copy, era {fleet.store.era}")
            for server in fleet.engines:
                server.register()
        await asyncio.sleep(START_AFTER_S - AWAY_S)
        await host.start()
        record.say(f"{host.name} starts")
        probing = asyncio.ensure_future(probe(host, key, acknowledged, acknowledged + 8))
        await asyncio.sleep(max(0, acknowledged + WRITTEN_AGAIN_AT_S - time.monotonic()))
        write(["kept"])
        record.say("the operator has written the configuration again")
        await probing
        ran = {ident for server in fleet.engines for _at, ident, _stage in server.arrivals}
        late = sorted(sent[ident] for ident in sent if ident in ran)
        record.say(f"answers to the key that was taken away, by status: {results}")
        if late:
            record.say(f"{len(late)} requests with it ran that were sent {late[0]:.2f} to {late[-1]:.2f} s "
                       f"after the acknowledgement")
        broken += late
        await fleet.wait_ready()
        await asyncio.sleep(1)
    record.say(f"{len(broken)} requests ran with a key that was taken away over {REVOKE_S} s before")
    return 1 if broken else 0


main(run)
