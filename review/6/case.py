"""One byte of one manifest is spoilt on its way from the origin of weights; see claim.txt."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "rig-2"))
import rig  # noqa: E402

ENTRIES = [1, 2, 3]
SIDES = [20, 21, 22]
MODEL = "daka510000"
RECOVERY = 12.0  # recovery_s
DOWN = 0.6  # seconds for which the processes are down
JUDGED = 20.0


def config(origin):
    route = {"name": "draft", "hostname": "one.example", "path_prefix": "/draft/", "type": "streaming",
             "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1, "max_attempts": 2, "public": True,
             "stream_resume": True, "target_gap_ms": 300, "session_affinity": True, "service": "pool"}
    engine = {"slots": 16, "kv_capacity_tokens": 1640000, "kv_token_bytes": 163840, "bandwidth_mbps": 400000.0,
              "stride": 6, "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warmup_s": 0.3}],
              "size_mb": 282000.0, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068,
              "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0,
              "delays": [], "usual": {"prompt": 964, "answer": 119}, "layers": 16, "layer_mb": 4540.0,
              "act_bytes": 16384, "chunks": 64, "chunk_bytes": 32768}
    services = [{"name": "pool", "health_path": "/healthz", "max_connections": 274, "engine": engine},
                {"name": "portal", "origin": origin, "zone": "cph-a", "bandwidth_mbps": 9.9, "max_connections": 48}]
    return {"version": 1, "routes": [route], "services": services,
            "tenants": [{"name": "w", "api_keys": ["key"]}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def script(record, work, nodes):
    store = rig.Store()
    await store.start(10)
    spoilt = []

    def spoil(body):
        """Spoils one byte of the first manifest of version 2."""
        if rig.trouble() and not spoilt and b'"version": 2' in body:
            spoilt.append(record.now())
            return body.replace(b'"chunk_bytes": 32768', b'"chunk_bytes": 12768')
        return body

    weights = rig.Weights(MODEL)
    origin = rig.Origin(record, weights, 11, spoil)
    await origin.start()

    async def handle(runner, line, headers, body, writer):
        request = headers.get("sesamewing-attempt-id", "")
        writer.write((f"HTTP/1.1 200 OK\r\nSesamewing-Attempt-Id: {request}\r\n"
                      f"Sesamewing-Runner-Signature: {runner.name}\r\nSesamewing-Weight-Versions: {runner.version}\r\n"
                      "Sesamewing-Runner-Load: 1,0,16\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, 6):
            event = f"id: {number}\ndata: {request}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")

    store.write("keyed.op", "config", config(origin.addr))
    store.write("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    for host in SIDES:
        await rig.ModelRunner(store, host, "pool", handle, weights, record).start()
        nodes.append(rig.agent(record, work, store, host, ENTRIES, "pool"))
    for host in ENTRIES:
        nodes.append(rig.entry(record, work, store, host, ENTRIES))
    for node in nodes:
        await node.start()
    if not await rig.ready(ENTRIES):
        record.say("could not run: the entries are not ready")
        return 2
    answers = []

    async def client():
        request, host, at = f"{random.getrandbits(64):016x}", random.choice(ENTRIES), record.now()
        text = (f"POST /draft/x HTTP/1.1\r\nHost: one.example\r\nSesamewing-Attempt-Id: {request}\r\n"
                f"Sesamewing-Model: {MODEL}\r\nSesamewing-Token-Usage: 56,30\r\n"
                f"Sesamewing-Prefix-Hash: aa:40,{request[:8]}:16\r\nSesamewing-Deadline-Ms: 6000\r\n"
                "Content-Length: 2\r\n\r\nhi")
        got = await rig.call(host, 8005, text.encode(), 6.5)
        status = got[0].split(" ")[1] if got else "none"
        answers.append((at, status))
        record.note(f"client: {request} at entry-{host}: {status}")

    async def load():
        while True:
            asyncio.create_task(client())
            await asyncio.sleep(0.1)

    task = asyncio.create_task(load())
    await asyncio.sleep(5)
    origin.newest = 2
    store.write("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 2})
    fault = record.now()
    record.say(f"version 2 is acknowledged at {fault:.1f} s; then all processes are killed")
    for node in nodes:
        node.signal(signal.SIGKILL)
    for node in nodes:
        await node.child.wait()
    await asyncio.sleep(DOWN)
    for node in nodes:
        await node.start(first=False)
    up = record.now()
    await asyncio.sleep(RECOVERY + JUDGED)
    task.cancel()
    until = record.now()
    await asyncio.sleep(7)

    def share(since, to):
        found = [status for at, status in answers if since <= at < to]
        return sum(s == "200" for s in found), len(found)

    before, after = share(1, fault - 0.5), share(up + RECOVERY, until)
    record.say(f"served of sent: before the fault {before[0]} of {before[1]}, "
               f"later than recovery_s after the start {after[0]} of {after[1]}; spoilt manifests: {len(spoilt)}")
    if rig.trouble() and not spoilt or before[0] * 4 < before[1]:
        record.say("could not run: no manifest was read, or too little was served before")
        return 2
    broken = after[0] * 4 < after[1]
    record.say(f"RECOVER {'is broken' if broken else 'holds'}")
    return 1 if broken else 0


rig.main(script, FOLDER)
