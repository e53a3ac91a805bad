"""A manifest allows larger heads: are they served on channels that clients have kept open?

Usage: case.py record.txt
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "lib2"))

from standins import Channel, Entry, attempt_id, manifest, route, run, seal, start_platform

CLIENTS = 30
REQUESTS = 4
# Limits of the first and of the second manifest, and the heads that the second one allows.
FIRST_HEADER_BYTES = 16_384
SECOND_HEADER_BYTES = 32_768
LARGE_HEADER_BYTES = 20_000
# `config-apply-ms` of the sheet, and two seconds more.
APPLY_S = 3.0 + 2.0


async def answer(engine, request, writer):
    body = request["attempt"].encode() * 50
    await asyncio.sleep(0.015)
    head = f"HTTP/1.1 200 OK\r\n{seal(request['attempt'])}Content-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)


async def scenario(record, folder, trouble):
    unsafe = route("unsafe", timeout_ms=1500, goal_ms=200, attempts=1)
    service = {"name": "service-1", "health-path": "/healthz", "max-conns": 400}
    store, engines = await start_platform(record, answer, unsafe)
    first = FIRST_HEADER_BYTES if trouble else SECOND_HEADER_BYTES
    store.put("op/config", manifest(2, [unsafe], [service], **{"max-header-bytes": first}))
    entry = Entry("edge-1", store, folder)
    entry.start()
    statuses = {}
    large = "".join(f"X-Form-{number}: {'v' * 985}\r\n" for number in range(LARGE_HEADER_BYTES // 1000))

    async def request(channel, headers):
        attempt = attempt_id()
        await channel.send("POST", "/p/x", attempt, 1500, b"form", headers)
        status, answered = await channel.head()
        await channel.body(answered)
        runs = sum(engine.runs.get(attempt, 0) for engine in engines)
        record.write(f"client: {attempt}, {len(headers)} bytes more in its head: {status}, {runs} runs")
        return status, answered.get("connection", "").lower() == "close"

    async def client(channel):
        for _ in range(REQUESTS):
            try:
                status, is_closed = await request(channel, large)
            except (asyncio.IncompleteReadError, ConnectionError):
                status, is_closed = "closed", True
            statuses[status] = statuses.get(status, 0) + 1
            if is_closed:
                channel = Channel(entry)
                await channel.open()
            await asyncio.sleep(0.3)
        channel.close()

    try:
        await entry.until_ready()
        channels = [Channel(entry) for _ in range(CLIENTS)]
        for channel in channels:
            await channel.open()
            await request(channel, "")
        if trouble:
            store.put("op/config", manifest(3, [unsafe], [service], **{"max-header-bytes": SECOND_HEADER_BYTES}))
            record.write("the store has acknowledged manifest 3")
        await asyncio.sleep(APPLY_S)
        await asyncio.gather(*[client(channel) for channel in channels])
    finally:
        entry.kill()
    sent = CLIENTS * (REQUESTS + 1)
    denied = sum(count for status, count in statuses.items() if status in (400, 401, 403, 404, 413, 431))
    record.write(f"{statuses}, {denied} denied of {sent}")
    print(statuses, f"{denied} denied of {sent}")
    return 1 if denied > 5 + sent / 500 else 0


run(os.path.join(FOLDER, "record.txt"), scenario)
