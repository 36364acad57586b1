"""A release whose runners number the events of a stream by tokens; see claim.txt."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "rig-2"))
import rig  # noqa: E402

ENTRIES = [1, 2, 3]
DRAIN = 2.0  # drain_ms
LINGER = 0.5
CHANNELS = 12  # kept channels of clients
EVENTS = 5
ALLOWED = 3
# Step of the event ids after the release: the tokens in an event of the sheet. IDS=1 numbers them as before.
STEP = int(os.environ.get("IDS", "6"))


def config():
    route = {"name": "draft", "hostname": "one.example", "path_prefix": "/draft/", "type": "streaming",
             "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1, "max_attempts": 2, "public": True,
             "stream_resume": True, "target_gap_ms": 300, "service": "pool"}
    return {"version": 1, "routes": [route],
            "services": [{"name": "pool", "health_path": "/healthz", "max_connections": 274}],
            "tenants": [{"name": "w", "api_keys": ["key"]}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def read_stream(reader):
    """Reads an answer; returns its status, its events and whether it is whole."""
    head = await reader.readuntil(b"\r\n\r\n")
    status, body = head.split(b" ")[1].decode(), b""
    length = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    if length:
        return status, await reader.readexactly(int(length[0].split(b":")[1])), True
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            return status, body, False
        size = int(line, 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return status, body, True


async def script(record, work, nodes):
    store = rig.Store()
    await store.start(10)
    ran, cut_by_exit = {}, set()

    async def handle(runner, line, headers, body, writer):
        request = headers.get("sesamewing-attempt-id", "")
        ran.setdefault(request, []).append(runner.name)
        leaving = "Server-Leaving: 1\r\n" if runner.state == "draining" else ""
        after = int(headers.get("last-event-id", 0))
        record.note(f"runner {runner.name} runs {request}" + (f" after event {after}" if after else ""))
        writer.write((f"HTTP/1.1 200 OK\r\nSesamewing-Attempt-Id: {request}\r\n"
                      f"Sesamewing-Runner-Signature: {runner.name}\r\nContent-Type: text/event-stream\r\n"
                      f"{leaving}Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            if number * runner.step <= after:
                continue
            event = f"id: {number * runner.step}\ndata: {request}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if not runner.up:
                cut_by_exit.add(request)
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")

    async def runner_at(host, step):
        runner = rig.Runner(store, host, "pool", handle)
        runner.step = step
        await runner.start()
        return runner

    store.write("keyed.op", "config", config())
    old = [await runner_at(20 + i, 1) for i in range(3)]
    for host in ENTRIES:
        nodes.append(rig.entry(record, work, store, host, ENTRIES))
        await nodes[-1].start()
    if not await rig.ready(ENTRIES):
        record.say("could not run: the entries are not ready")
        return 2
    counts = {"whole": 0, "cut": 0, "refused": 0}
    lost = []

    async def client(number):
        """Sends requests on a channel that it keeps, and opens another one when it is closed."""
        while True:
            host, answered, request, writer = ENTRIES[number % len(ENTRIES)], 0, "", None
            try:
                reader, writer = await asyncio.open_connection(rig.ip(host), 8005)
                while True:
                    request = f"{random.getrandbits(64):016x}"
                    text = (f"POST /draft/x HTTP/1.1\r\nHost: one.example\r\nSesamewing-Attempt-Id: {request}\r\n"
                            "Sesamewing-Deadline-Ms: 6000\r\nContent-Length: 2\r\n\r\nhi")
                    writer.write(text.encode())
                    await writer.drain()
                    status, body, whole = await asyncio.wait_for(read_stream(reader), 7)
                    if not whole:
                        raise ConnectionError
                    counts["whole" if status == "200" else "refused"] += 1
                    answered += 1
                    await asyncio.sleep(0.3)
            except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                counts["cut"] += 1
                kept = answered > 0
                runs = ran.get(request, [])
                record.note(f"client: the channel to entry-{host} ends without a whole answer to {request}, "
                            f"its request {answered + 1} there, run by {runs}")
                if kept and runs and request not in cut_by_exit:
                    lost.append(request)
            finally:
                if writer:
                    writer.close()
            await asyncio.sleep(0.3)

    tasks = [asyncio.create_task(client(number)) for number in range(CHANNELS)]
    await asyncio.sleep(5)
    before = dict(counts)
    record.say(f"before the release: {before}")

    async def leave(runner):
        runner.state = "draining"
        runner.sequence += 1
        store.write("keyed.servers", runner.name, runner.entry())
        record.note(f"runner {runner.name} reports draining")
        await asyncio.sleep(DRAIN + LINGER)
        await runner.crash()
        record.note(f"runner {runner.name} has left and exits")

    if rig.trouble():
        for index, runner in enumerate(old):
            new = await runner_at(30 + index, STEP)
            record.note(f"runner {new.name} of the new release starts")
            await asyncio.sleep(1)
            await leave(runner)
    await asyncio.sleep(8)
    for task in tasks:
        task.cancel()
    after = {key: counts[key] - before[key] for key in counts}
    record.say(f"from the release on: {after}; on kept channels, passed on and without a whole answer: {len(lost)}")
    broken = len(lost) > ALLOWED
    record.say(f"LOST {'is broken' if broken else 'holds'}")
    return 1 if broken else 0


rig.main(script, FOLDER)
