"""A planned restart of a service's runners, each under the id that it had; see claim.txt."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "rig-2"))
import rig  # noqa: E402

ENTRIES = [1, 2, 3]
DRAIN = 2.0  # drain_ms
LINGER = 0.1  # the "little longer" for which a leaving runner serves
DOWN = 0.3  # time from the end of a runner's process to its next start
WORK = {"order": 1.9, "first": 0.03, "new": 0.03}  # seconds
CONFIG_APPLY = 2.0  # config_apply_ms
STABLE = 3.0  # stable_window_ms
JUDGED = 12.0  # seconds of steady state in which both routes are judged


def route(name, service):
    return {"name": name, "hostname": "one.example", "path_prefix": f"/{name}/", "type": "unsafe",
            "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1, "max_attempts": 1,
            "public": True, "stream_resume": False, "service": service}


def config(version, routes):
    services = [{"name": name, "health_path": "/healthz", "max_connections": 274} for name in ("desk", "gateway")]
    return {"version": version, "routes": routes, "services": services,
            "tenants": [{"name": "w", "api_keys": ["key"]}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def script(record, work, nodes):
    store = rig.Store()
    await store.start(10)
    arrivals = []
    begun = {}

    async def handle(runner, line, headers, body, writer):
        request = headers.get("sesamewing-attempt-id", "")
        kind = line.split("/")[1]
        arrivals.append((record.now(), runner.addr, kind))
        record.note(f"runner {runner.name} at {runner.addr} runs {request} on /{kind}/")
        if runner.addr in begun:
            begun[runner.addr].set()
        await asyncio.sleep(WORK[kind])
        leaving = "Server-Leaving: 1\r\nConnection: close\r\n" if runner.state == "draining" else ""
        if leaving:
            record.note(f"runner {runner.name} answers {request}, with Server-Leaving")
        writer.write(f"HTTP/1.1 200 OK\r\nSesamewing-Attempt-Id: {request}\r\n"
                     f"Sesamewing-Runner-Signature: {runner.name}.{runner.born}\r\n{leaving}"
                     "Content-Length: 2\r\n\r\nok".encode())

    async def restart(runner):
        """Restarts a runner in place while it works on a request."""
        begun[runner.addr] = asyncio.Event()
        try:
            await asyncio.wait_for(begun[runner.addr].wait(), 8)
        except asyncio.TimeoutError:
            record.note(f"no request came to {runner.addr}")
        runner.state = "draining"
        runner.sequence += 1
        store.write("keyed.servers", runner.name, runner.entry())
        record.note(f"runner {runner.name} reports draining")
        await asyncio.sleep(DRAIN + LINGER)
        name = runner.name
        await runner.crash()
        record.note(f"runner {name} has left and exits")
        await asyncio.sleep(DOWN)
        await runner.start(name)
        record.note(f"runner {name} starts again under its id, born {runner.born}")

    first, order, new = route("first", "desk"), route("order", "gateway"), route("new", "gateway")
    store.write("keyed.op", "config", config(1, [first, order]))
    desk = [rig.Runner(store, 20 + i, "desk", handle) for i in range(2)]
    gateway = [rig.Runner(store, 30, "gateway", handle)]
    for runner in desk + gateway:
        await runner.start()
    for host in ENTRIES:
        nodes.append(rig.entry(record, work, store, host, ENTRIES))
        await nodes[-1].start()
    if not await rig.ready(ENTRIES):
        record.say("could not run: the entries are not ready")
        return 2
    answers = []

    async def client(kind):
        request = f"{random.getrandbits(64):016x}"
        host, sent = random.choice(ENTRIES), record.now()
        text = (f"POST /{kind}/x HTTP/1.1\r\nHost: one.example\r\nSesamewing-Attempt-Id: {request}\r\n"
                "Sesamewing-Deadline-Ms: 6000\r\nContent-Length: 2\r\n\r\nhi")
        got = await rig.call(host, 8005, text.encode(), 7)
        status = got[0].split(" ")[1] if got else "none"
        answers.append((sent, kind, status))
        record.note(f"client: {request} on /{kind}/ at entry-{host}: {status}")

    async def load(kind, interval):
        while True:
            asyncio.create_task(client(kind))
            await asyncio.sleep(interval)

    tasks = [asyncio.create_task(load("first", 0.2)), asyncio.create_task(load("order", 2.2))]
    await asyncio.sleep(4)
    for runner in gateway:
        if rig.trouble():
            await restart(runner)
        await asyncio.sleep(4)
    store.write("keyed.op", "config", config(3, [first, order, new]))
    record.note("configuration 3 is acknowledged; it adds /new/")
    await asyncio.sleep(CONFIG_APPLY + STABLE)
    tasks.append(asyncio.create_task(load("new", 0.2)))
    judged = record.now()
    await asyncio.sleep(JUDGED)
    until = record.now()
    for task in tasks:
        task.cancel()
    await asyncio.sleep(6.5)
    share = {}
    for kind in ("first", "order", "new"):
        sent = [status for at, k, status in answers if k == kind and judged <= at < until]
        share[kind] = (sum(s == "200" for s in sent), len(sent))
    for runner in gateway:
        count = sum(1 for at, addr, _ in arrivals if addr == runner.addr and at >= judged)
        record.say(f"gateway runner {runner.name} got {count} requests from {judged:.0f} s on")
    record.say("served of sent: " + ", ".join(f"/{k}/ {a} of {b}" for k, (a, b) in share.items()))
    served = {k: a / max(b, 1) for k, (a, b) in share.items()}
    earlier = [share["first"], share["order"]]
    rate = sum(a for a, _ in earlier) / max(sum(b for _, b in earlier), 1)
    broken = share["new"][1] >= 20 and served["new"] < rate / 4
    record.say("CONFIG is broken: a route that was added later is served less than a quarter as often as the first ones"
               if broken else "CONFIG holds")
    return 1 if broken else 0


rig.main(script, FOLDER)
