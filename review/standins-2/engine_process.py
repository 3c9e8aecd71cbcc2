"""A decode engine as a process of its own, which a case can kill: engine_process.py IP PORT NAME EVENTS PAUSE_MS.

It answers with a stream of events that has neither a length nor chunks and ends with its connection.
"""

import asyncio
import sys

import platform_standins as st

IP, PORT, NAME, EVENTS, PAUSE_MS = sys.argv[1:6]


async def run(engine, request, reader, writer):
    head = ["HTTP/1.1 200 OK", f"Request-Id: {request.get('request-id')}", f"Response-Stamp: {NAME}",
            "Content-Type: text/event-stream", "Connection: close", "", ""]
    writer.write("\r\n".join(head).encode())
    first = int(request.get("last-event-id", "0")) + 1
    for number in range(first, int(EVENTS) + 1):
        writer.write(f"id: {number}\ndata: piece {number} of {EVENTS}\n\n".encode())
        await writer.drain()
        print(f"{NAME} sends event {number}", flush=True)
        await asyncio.sleep(int(PAUSE_MS) / 1000)
    return False


class Silent:
    """The case registers the engine; the process does not reach the store."""

    is_down = True

    def write(self, key, value):
        pass


async def main():
    def record(text):
        print(text, flush=True)

    engine = st.Engine(record, Silent(), (IP, int(PORT)), NAME, "model", "decode")
    engine.run = run
    await engine.start()
    print(f"{NAME} listens", flush=True)
    await asyncio.sleep(100)


asyncio.run(main())
