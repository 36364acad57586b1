"""One digit of a runner's version header is spoilt in one answer to each entry; see claim.txt."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "rig-2"))
import rig  # noqa: E402

ENTRIES = [1, 2, 3]
SIDE = 20
DESK = 30
MODEL = "daka510000"
VERSION_BOUND = 8.0  # version_ms
GARBLE = 5.0  # seconds in which answers are spoilt
SPOILT = 40  # which answer to each entry in that time is spoilt: one of 40, x = 0.025
CONFIG_APPLY = 2.0  # config_apply_ms
STABLE = 3.0  # stable_window_ms
JUDGED = 12.0


def route(name, service, kind):
    return {"name": name, "hostname": "one.example", "path_prefix": f"/{name}/", "type": kind,
            "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1, "max_attempts": 2, "public": True,
            "stream_resume": kind == "streaming", "target_gap_ms": 300, "session_affinity": kind == "streaming",
            "service": service}


def config(version, routes, origin):
    engine = {"slots": 16, "kv_capacity_tokens": 1640000, "kv_token_bytes": 163840, "bandwidth_mbps": 400000.0,
              "stride": 6, "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warmup_s": 0.3}],
              "size_mb": 282000.0, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068,
              "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0,
              "delays": [], "usual": {"prompt": 964, "answer": 119}, "layers": 16, "layer_mb": 4540.0,
              "act_bytes": 16384, "chunks": 64, "chunk_bytes": 32768}
    services = [{"name": "desk", "health_path": "/healthz", "max_connections": 110},
                {"name": "pool", "health_path": "/healthz", "max_connections": 274, "engine": engine},
                {"name": "portal", "origin": origin, "zone": "cph-a", "bandwidth_mbps": 9.9, "max_connections": 48}]
    return {"version": version, "routes": routes, "services": services,
            "tenants": [{"name": "w", "api_keys": ["key"]}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def script(record, work, nodes):
    store = rig.Store()
    await store.start(10)
    weights = rig.Weights(MODEL)
    origin = rig.Origin(record, weights, 11)
    await origin.start()
    spoil = {"until": 0.0, "done": set()}
    total, seen = {"answers": 0}, {}

    async def handle(runner, line, headers, body, writer):
        request = headers.get("sesamewing-attempt-id", "")
        host = sent.get(request)
        version = str(runner.version)
        if record.now() < spoil["until"]:
            total["answers"] += 1
            seen[host] = seen.get(host, 0) + 1
            if seen[host] == SPOILT:
                spoil["done"].add(host)
                version = "6"
                record.note(f"the version in the answer to {request}, from entry-{host}, is spoilt: 6 in place of {runner.version}")
        writer.write((f"HTTP/1.1 200 OK\r\nSesamewing-Attempt-Id: {request}\r\n"
                      f"Sesamewing-Runner-Signature: {runner.name}\r\nSesamewing-Weight-Versions: {version}\r\n"
                      "Sesamewing-Runner-Load: 1,0,16\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, 4):
            event = f"id: {number}\ndata: {request}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    async def desk(runner, line, headers, body, writer):
        request = headers.get("sesamewing-attempt-id", "")
        writer.write(f"HTTP/1.1 200 OK\r\nSesamewing-Attempt-Id: {request}\r\n"
                     f"Sesamewing-Runner-Signature: {runner.name}\r\nContent-Length: 2\r\n\r\nok".encode())

    sent, answers = {}, []
    first, draft, new = route("first", "desk", "safe"), route("draft", "pool", "streaming"), route("new", "pool", "streaming")
    store.write("keyed.op", "config", config(1, [first, draft], origin.addr))
    store.write("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    engine = rig.ModelRunner(store, SIDE, "pool", handle, weights, record)
    await engine.start()
    await rig.Runner(store, DESK, "desk", desk).start()
    nodes.append(rig.agent(record, work, store, SIDE, ENTRIES, "pool"))
    for host in ENTRIES:
        nodes.append(rig.entry(record, work, store, host, ENTRIES))
    for node in nodes:
        await node.start()
    if not await rig.ready(ENTRIES):
        record.say("could not run: the entries are not ready")
        return 2

    async def client(kind):
        request, host, at = f"{random.getrandbits(64):016x}", random.choice(ENTRIES), record.now()
        sent[request] = host
        text = (f"POST /{kind}/x HTTP/1.1\r\nHost: one.example\r\nSesamewing-Attempt-Id: {request}\r\n"
                f"Sesamewing-Model: {MODEL}\r\nSesamewing-Token-Usage: 56,18\r\n"
                f"Sesamewing-Prefix-Hash: aa:40,{request[:8]}:16\r\nSesamewing-Deadline-Ms: 6000\r\n"
                "Content-Length: 2\r\n\r\nhi")
        got = await rig.call(host, 8005, text.encode(), 6.5)
        status = got[0].split(" ")[1] if got else "none"
        answers.append((at, kind, status))
        record.note(f"client: {request} on /{kind}/ at entry-{host}: {status}")

    async def load(kind, interval):
        while True:
            asyncio.create_task(client(kind))
            await asyncio.sleep(interval)

    tasks = [asyncio.create_task(load("first", 0.2)), asyncio.create_task(load("draft", 0.03))]
    await asyncio.sleep(3)
    origin.newest = 2
    store.write("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 2})
    record.note("version 2 is acknowledged")
    await asyncio.sleep(VERSION_BOUND + 2)
    if engine.version != 2:
        record.say("could not run: the runner has not loaded version 2")
        return 2
    if rig.trouble():
        spoil["until"] = record.now() + GARBLE
    await asyncio.sleep(GARBLE)
    record.say(f"spoilt answers: {len(spoil['done'])} of {total['answers']} in {GARBLE:.0f} s")
    store.write("keyed.op", "config", config(3, [first, draft, new], origin.addr))
    record.note("configuration 3 is acknowledged; it adds /new/")
    await asyncio.sleep(CONFIG_APPLY + STABLE)
    tasks.append(asyncio.create_task(load("new", 0.2)))
    judged = record.now()
    await asyncio.sleep(JUDGED)
    until = record.now()
    for task in tasks:
        task.cancel()
    await asyncio.sleep(7)
    share = {}
    for kind in ("first", "draft", "new"):
        found = [status for at, k, status in answers if k == kind and judged <= at < until]
        share[kind] = (sum(s == "200" for s in found), len(found))
    record.say("served of sent: " + ", ".join(f"/{k}/ {a} of {b}" for k, (a, b) in share.items()))
    rate = {kind: a / max(b, 1) for kind, (a, b) in share.items()}
    broken = share["new"][1] >= 20 and rate["new"] < rate["first"] / 4
    record.say(f"CONFIG {'is broken' if broken else 'holds'}")
    return 1 if broken else 0


rig.main(script, FOLDER)
