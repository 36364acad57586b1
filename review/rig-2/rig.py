"""Stand-ins for the scripts of review/6 to review/10: the platform's store, runners, clients, and the project's programs
as processes. Only the standard library is used, and only loopback addresses."""

import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
NODE = os.path.join(ROOT, "target", "release", "sesamewing-node")
HEARTBEAT = 1.2
NET = (96 + os.getpid() % 64, (os.getpid() // 64) % 250)


def ip(host):
    """Returns the loopback address of a host of this run."""
    return f"127.{NET[0]}.{NET[1]}.{host}"


def trouble():
    """Returns whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.begun

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


async def read_message(reader):
    """Reads a request or response with a length or chunks; returns its first line, headers and body, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif lines[0].startswith("HTTP/"):
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    return lines[0], headers, body


class Store:
    """The platform's metadata store: compacted topics with long polls, and an era."""

    def __init__(self):
        self.topics = {}
        self.era = 0
        self.wake = asyncio.Event()
        self.silent = False

    def write(self, topic, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self.topics.setdefault(topic, []).append((key.encode(), data))
        self.wake.set()
        self.wake = asyncio.Event()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, ip(host), 8007)
        self.addr = f"{ip(host)}:8007"

    async def serve(self, reader, writer):
        try:
            while (call := await read_message(reader)) is not None:
                status, body = await self.answer(*call)
                await asyncio.sleep(0.004)
                head = f"HTTP/1.1 {status}\r\nStore-Era: {self.era}\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body):
        target = line.split(" ")[1]
        path, _, query = target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in query.split("&"))
        log = self.topics.setdefault(query.get("topic", ""), [])
        if path.endswith("log-newest"):
            newest = {}
            for offset, (key, value) in enumerate(log):
                newest[key] = (value, offset)
            items = [{"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": o}
                     for k, (v, o) in sorted(newest.items()) if v]
            page = {"items": items, "has_more": False, "end_offset": len(log)}
            return "200 OK", json.dumps(page).encode()
        if path.endswith("log-read"):
            start, until = int(query["from"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while len(log) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.wake.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            if start > len(log):
                return "410 Gone", b'{"first_offset":0}'
            out = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for key, value in log[start:start + 1024]:
                record = bytes([len(key)]) + key + value
                out += len(record).to_bytes(4, "big") + record
            return "200 OK", out
        if path.endswith("log-append"):
            offset = len(log)
            while body:
                size = int.from_bytes(body[:4], "big")
                record, body = body[4:4 + size], body[4 + size:]
                log.append((record[1:1 + record[0]], record[1 + record[0]:]))
            self.wake.set()
            self.wake = asyncio.Event()
            return "200 OK", json.dumps({"offset": offset, "end_offset": len(log)}).encode()
        return "404 Not Found", b"{}"


class Runner:
    """A runner that registers itself in the store. `handle(runner, line, headers, body, writer)` answers a request."""

    def __init__(self, store, host, service, handle, zone="cph-a", slots=16, extra=None):
        self.store, self.host, self.service, self.handle = store, host, service, handle
        self.zone, self.slots, self.extra = zone, slots, extra or {}
        self.addr = f"{ip(host)}:8001"
        self.up = False
        self.writers = set()
        self.state = "ready"

    async def start(self, name=None):
        self.name = name or f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.server = await asyncio.start_server(self.serve, ip(self.host), 8001)
        self.up = True
        self.beats = asyncio.create_task(self.beat(self.name))

    def entry(self):
        return {"service": self.service, "address": self.addr, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born, **self.extra}

    async def beat(self, name):
        while True:
            self.sequence += 1
            self.store.write("keyed.servers", name, self.entry())
            await asyncio.sleep(HEARTBEAT)

    def host_call(self, line, body):
        """Answers a call of the agent on the same machine; None for all others."""
        return None

    async def crash(self):
        """Ends the runner at once: its channels are reset, and its entry lapses after three intervals."""
        if not self.up:
            return
        self.up = False
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.create_task(self.lapse(self.name))

    async def lapse(self, name):
        await asyncio.sleep(3 * HEARTBEAT)
        if not (self.up and self.name == name):
            self.store.write("keyed.servers", name, None)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (call := await read_message(reader)) is not None:
                line, headers, body = call
                expected = headers.get("sesamewing-expect-instance")
                own = self.host_call(line, body)
                wanted = headers.get("sesamewing-expect-version")
                if own is not None:
                    status, data = own
                    writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                elif line.split(" ")[1] == "/healthz":
                    text = f"HTTP/1.1 200 OK\r\nSesamewing-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n"
                    writer.write(text.encode())
                elif expected not in (None, self.name) or wanted not in (None, str(getattr(self, "version", None))):
                    text = (f"HTTP/1.1 421 Misdirected Request\r\nSesamewing-Instance-Id: {self.name}\r\n"
                            f"Sesamewing-Not-Executed: 1\r\nSesamewing-Attempt-Id: {headers.get('sesamewing-attempt-id', '')}\r\n"
                            "Content-Length: 0\r\n\r\n")
                    writer.write(text.encode())
                else:
                    await self.handle(self, line, headers, body, writer)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Node:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, record, folder, role, host, text):
        self.record, self.role, self.host = record, role, host
        self.path = os.path.join(folder, f"{role}-{host}.toml")
        self.log = open(os.path.join(folder, f"{role}-{host}.log"), "ab")
        self.text = text
        self.child = None

    async def start(self, first=True):
        with open(self.path, "w") as file:
            file.write(self.text.replace("BOOTSTRAP", "true" if first else "false"))
        env = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "SESAMEWING_SETTINGS": self.path}
        self.child = await asyncio.create_subprocess_exec(
            NODE, self.role, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.begun = time.monotonic()
        self.record.note(f"start {self.role}-{self.host}")

    def signal(self, number):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)
            self.record.note(f"{signal.Signals(number).name} {self.role}-{self.host}")

    async def end(self):
        if self.child and self.child.returncode is None:
            self.child.kill()
        if self.child:
            await self.child.wait()


def settings(host, role, store, seeds, listen, extra="", zone="cph-a", memory=260, fds=4100, mbps=1000.0):
    seeds = ",".join(f'"{ip(h)}:8000"' for h in seeds)
    return f"""node_name = "{role}-{zone}-{host}"
role = "{role}"
ip = "{ip(host)}"
zone = "{zone}"
region = "dk-east"
port_range = [7700,7715]
seed_nodes = [{seeds}]
bootstrap = BOOTSTRAP
counts_as_loss = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
{extra}
[zones]
cph-a = "dk-east"
[listen]
{listen}
[limits]
cpu_quota = 0.25
cpu_speedup = 1
memory_mb = {memory}
max_fds = {fds}
bandwidth_mbps = {mbps}
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
partition_bound_ms = 5000
revoke_fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 106
recovery_s = 12
iteration_ms = 120
retry_after_s = 0
version_ms = 8000
version_all_ms = 0
ttl_max_s = 5
[platform]
address = "{store.addr}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 24
append_ms = 1.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
partition_mb = 200
ttl_min_ms = 1000
"""


def entry(record, folder, store, host, hosts):
    """Returns the entry process of a host; it is not started yet."""
    at = ip(host)
    listen = (f'frontend = "{at}:8005"\nreadiness = "{at}:8002"\ncontrol_plane = "{at}:8000"\n'
              f'directory_addr = "{at}:8009"')
    text = settings(host, "entry", store, hosts[:3], listen)
    return Node(record, folder, "entry", host, text)


def agent(record, folder, store, host, seeds, service):
    """Returns the agent process beside the runner of a host; it is not started yet."""
    extra = f'app = "{ip(host)}:8001"\nservice = "{service}"'
    text = settings(host, "agent", store, seeds[:3], "", extra, memory=128, fds=2048, mbps=7.6)
    return Node(record, folder, "agent", host, text)


def digests(model, version, chunks, size):
    """Returns the pieces of a version and their digests."""
    pieces = [random.Random(f"{model}/{version}/{n}").randbytes(size) for n in range(chunks)]
    return pieces, [hashlib.sha256(piece).hexdigest() for piece in pieces]


class Weights:
    """The weights of one model: pieces and digests of each version."""

    def __init__(self, model, chunks=64, size=32768):
        self.model, self.chunks, self.size = model, chunks, size
        self.versions = {}

    def of(self, version):
        if version not in self.versions:
            self.versions[version] = digests(self.model, version, self.chunks, self.size)
        return self.versions[version]


class Origin:
    """The service with the origin of weights. `spoil(body)` may change the body of a manifest."""

    def __init__(self, record, weights, host, spoil=lambda body: body):
        self.record, self.weights, self.host, self.spoil = record, weights, host, spoil
        self.newest = 1

    async def start(self):
        self.server = await asyncio.start_server(self.serve, ip(self.host), 8006)
        self.addr = f"{ip(self.host)}:8006"

    async def serve(self, reader, writer):
        try:
            while (got := await read_message(reader)) is not None:
                path, _, query = got[0].split(" ")[1].partition("?")
                query = dict(pair.partition("=")[::2] for pair in query.split("&"))
                version = int(query.get("version") or self.newest)
                pieces, names = self.weights.of(version)
                status, body = "200 OK", b""
                if version > self.newest or version < self.newest - 1:
                    status = "410 Gone"
                elif "/manifest/" in path:
                    manifest = {"model": self.weights.model, "version": version,
                                "chunk_bytes": self.weights.size, "layers": 16, "digests": names}
                    body = self.spoil(json.dumps(manifest).encode())
                    self.record.note(f"origin sends the manifest of version {version}: {body[:70].decode()}...")
                else:
                    body = pieces[int(query["sample_size"])]
                writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class ModelRunner(Runner):
    """A model runner with staged pieces and orders."""

    def __init__(self, store, host, service, handle, weights, record, **more):
        super().__init__(store, host, service, handle, **more)
        self.weights, self.record = weights, record
        self.staged = dict(enumerate(weights.of(1)[0]))
        self.version, self.busy, self.orders = 1, False, 0

    def models(self):
        if self.version is None:
            return []
        return [{"name": self.weights.model, "version": self.version, "adapters": []}]

    def entry(self):
        return {**super().entry(), "stage": "both", "models": self.models()}

    def tell(self):
        self.sequence += 1
        self.store.write("keyed.servers", self.name, self.entry())

    async def load(self, version):
        self.busy, self.version = True, None
        self.tell()
        await asyncio.sleep(0.3)
        whole = [self.staged.get(n) for n in range(self.weights.chunks)] == self.weights.of(version)[0]
        self.busy, self.version = False, version
        self.tell()
        self.record.note(f"runner {self.name} has loaded version {version}, {'whole' if whole else 'NOT WHOLE'}")

    def host_call(self, line, body):
        """Answers a call of the agent; returns status and body, or None for a request."""
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in query.split("&"))
        if path == "/sesamewing/report":
            report = {"stage": "both", "models": self.models(), "busy": self.busy, "sequence": self.orders,
                      "queued": 0, "active": 0, "kv_used_tokens": 0, "kv_total_tokens": 1640000,
                      "kv_handles": 0, "born": self.born}
            return "200 OK", json.dumps(report).encode()
        if path.startswith("/sesamewing/stage-get/"):
            if "sample_size" not in query:
                return "200 OK", json.dumps({"held": sorted(self.staged)}).encode()
            piece = self.staged.get(int(query["sample_size"]))
            return ("200 OK", piece) if piece is not None else ("404 Not Found", b"")
        if path.startswith("/sesamewing/stage-put/"):
            self.staged[int(query["sample_size"])] = body
            return "200 OK", b""
        if path == "/sesamewing/order":
            order = json.loads(body)
            if self.busy:
                return "409 Conflict", b""
            if self.version == order["version"]:
                return "200 OK", b""
            self.orders += 1
            self.record.note(f"runner {self.name} takes the order to load version {order['version']}")
            asyncio.create_task(self.load(order["version"]))
            return "202 Accepted", b""
        return None


async def call(host, port, data, limit):
    """Sends bytes on a new channel and reads one response; returns status line, headers and body, or None."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip(host), port), 1)
        writer.write(data)
        await writer.drain()
        return await asyncio.wait_for(read_message(reader), limit)
    except (asyncio.TimeoutError, ConnectionError, OSError):
        return None
    finally:
        if writer:
            writer.close()


async def ready(hosts, limit=20):
    """Waits until the entries of all hosts are ready; returns whether they are."""
    until = time.monotonic() + limit
    for host in hosts:
        while True:
            got = await call(host, 8002, b"GET /sesamewing/readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1)
            if got and " 200" in got[0]:
                break
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.1)
    return True


def main(script, folder):
    """Runs `script(record, folder for temporary files)`, which returns the exit status, and ends all processes."""
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="sesamewing-review-")
    nodes = []

    async def run():
        # Tasks that are cancelled at the end are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            return await asyncio.wait_for(script(record, work, nodes), 115)
        finally:
            for node in nodes:
                await node.end()

    status = 2
    if not os.path.exists(NODE):
        record.say("could not run: the program is not built")
    else:
        try:
            status = asyncio.run(run())
        except Exception as error:  # the case could not run
            record.say(f"could not run: {error!r}")
    if os.environ.get("KEEP"):
        print(work)
    else:
        shutil.rmtree(work, ignore_errors=True)
    record.say(f"exit {status}")
    sys.exit(status)
