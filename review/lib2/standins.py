"""Stand-ins of the platform's store, of engines and of clients, and the programs under test.

All of them speak what the users' protocol page says and use loopback addresses only. They need
nothing but Python's standard library.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.2
BOUNDS = {"grace-s": 8, "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 90}

_ports = set()


def free_port():
    """A free port below the kernel's ephemeral range, so that no connection takes it meanwhile."""
    while True:
        port = random.randrange(12000, 30000)
        if port in _ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _ports.add(port)
        return port


class Record:
    """What was sent, answered and run, with times in seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """The first line of a message and its headers with lower-case names."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """The data of a chunked body, one chunk at a time; raises if it has no end."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_request_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store."""

    def __init__(self):
        self.revision = 0
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 0
        self.changed = asyncio.Event()
        self.port = free_port()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        asyncio.create_task(self.expire_leases())

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [it for it, (end, _) in self.leases.items() if end < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_request_body(reader, headers)
                method, target, _ = line.split(" ")
                url = urllib.parse.urlsplit(target)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
                status, answer = await self.call(method, url.path, query, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 0\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, path, query, body):
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "as-of": self.revision})
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            keys = [key for key in keys if key > query.get("after", "")]
            rows = [self.items[key] for key in keys[:500]]
            return 200, {"items": rows, "more-pages": len(keys) > 500, "as-of": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait-ms"]))
        if path == "/-/kv-txn":
            return self.transact(json.loads(body))
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl_ms = max(1000, json.loads(body)["ttl-ms"])
            self.leases[self.next_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl_ms}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttl-ms": ttl_ms}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [it for it in self.history if it["revision"] > after and it["key"].startswith(prefix)]
            if events:
                return 200, {"events": events, "as-of": events[-1]["revision"]}
            left = end - time.monotonic()
            if left <= 0:
                return 200, {"events": [], "as-of": max(after, self.revision)}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        current = lambda key: self.items[key]["revision"] if key in self.items else 0
        expected = call.get("expected", [])
        if any(current(row["key"]) != row["revision"] for row in expected):
            rows = [self.items[row["key"]] for row in expected if row["key"] in self.items]
            return 412, {"items": rows}
        if any(row["lease"] and row["lease"] not in self.leases for row in call.get("writes", [])):
            return 404, {}
        for row in call.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Engine:
    """A sound engine. `answer(engine, request, writer)` runs a request and writes its response."""

    def __init__(self, store, record, service, answer, slots=64):
        self.store, self.record, self.service, self.answer = store, record, service, answer
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.port = free_port()
        self.slots = slots
        self.seq = 0
        self.runs = {}

    async def start(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=1024)
        asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            entry = {
                "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "zone-a",
                "version": "v1", "slots": self.slots, "phase": "ready", "cold-left-ms": 0,
                "seq": self.seq, "born": self.born,
            }
            self.store.put(f"servers/{self.id}", json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            line, headers = await read_head(reader)
            body = await read_request_body(reader, headers)
            attempt = headers.get("berylhook-attempt-id")
            if headers.get("berylhook-expect-instance", self.id) != self.id:
                head = f"HTTP/1.1 421 X\r\nBerylhook-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
            elif line.startswith("GET /healthz"):
                head = f"HTTP/1.1 200 OK\r\nBerylhook-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
            else:
                self.runs[attempt] = self.runs.get(attempt, 0) + 1
                self.record.write(f"engine {self.id} runs {attempt} {line}")
                await self.answer(self, {"line": line, "headers": headers, "body": body, "attempt": attempt}, writer)
                self.record.write(f"engine {self.id} has sent the whole response to {attempt}")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.record.write(f"engine {self.id}: {type(error).__name__}")
        finally:
            writer.close()


def seal(attempt):
    return f"Berylhook-Attempt-Id: {attempt}\r\nBerylhook-Response-Seal: 3e1b.07.{attempt}\r\n"


def manifest(version, routes, services, **limits):
    document = {
        "version": version, "routes": routes, "services": services,
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000, **limits,
        },
        "tenants": [{"name": "tenant-a", "api-keys": [KEY]}],
    }
    return json.dumps(document).encode()


KEY = "n2ctnfzs989anu6wsjnb"
HOST = "desk.example"


class Entry:
    """The program `berylhook entry`, with settings from the template of the deploy file."""

    def __init__(self, name, store, folder, memory_mb=260, max_fds=4200, seeds=()):
        self.name, self.process = name, None
        self.port, self.ready, self.peers, self.metrics = (free_port() for _ in range(4))
        values = {
            "node-name": name, "zone": "zone-a", "region": "region-a", "limits.cpu-quota": "0.19",
            "limits.memory-mb": memory_mb, "limits.max-fds": max_fds,
            "listen.frontend": f"127.0.0.1:{self.port}", "listen.ready": f"127.0.0.1:{self.ready}",
            "listen.control-plane": f"127.0.0.1:{self.peers}", "ip": "127.0.0.1",
            "seeds": ",".join(seeds) or f"127.0.0.1:{self.peers}",
            "platform.address": f"127.0.0.1:{store.port}", "port-range.0": free_port(),
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
            "bounds.evacuate-ms": "", "bounds.cold-overshoot": "", "bounds.cold-slack": "",
        }
        text = open(os.path.join(ROOT, "deploy", "entry.ini"), encoding="utf-8").read()
        text = text.replace("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "zone-a:region-a")
        text = text.replace("{{ip}}:9464", f"127.0.0.1:{self.metrics}")
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        self.settings = os.path.join(folder, f"{name}.ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = open(os.path.join(folder, f"{name}.log"), "w", encoding="utf-8")

    def start(self):
        program = os.path.join(ROOT, "target", "release", "berylhook")
        self.process = subprocess.Popen(
            [program, "entry", self.settings], cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "BERYLHOOK_CONFIG": self.settings},
        )

    def signal(self, number):
        self.process.send_signal(number)

    async def until_ready(self):
        for _ in range(200):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
                if " 200" in line:
                    return
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} does not get ready")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()


class Channel:
    """A client's channel to an entry, kept for many requests."""

    def __init__(self, entry, receive_buffer=None, read_limit=1 << 16):
        self.entry, self.receive_buffer, self.read_limit = entry, receive_buffer, read_limit
        self.reader = self.writer = None

    async def open(self):
        plain = socket.socket()
        plain.setblocking(False)
        if self.receive_buffer:
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        await asyncio.get_running_loop().sock_connect(plain, ("127.0.0.1", self.entry.port))
        self.reader, self.writer = await asyncio.open_connection(sock=plain, limit=self.read_limit)

    async def send(self, method, path, attempt, deadline_ms, body=b"", headers=""):
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nBerylhook-Attempt-Id: {attempt}\r\n"
            f"Berylhook-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{headers}"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        await self.writer.drain()

    async def head(self):
        line, headers = await read_head(self.reader)
        return int(line.split(" ")[1]), headers

    async def body(self, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return b"".join([chunk async for chunk in read_chunks(self.reader)])
        return await self.reader.readexactly(int(headers.get("content-length", "0")))

    def close(self):
        if self.writer is not None:
            self.writer.close()


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def run(record_path, scenario):
    """Runs `scenario(record, temporary_folder, trouble)`; exits with what it returns, or with 2."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(asyncio.wait_for(scenario(record, temporary, trouble), 110))
        except Exception as error:  # the case could not run
            record.write(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
    record.close()
    raise SystemExit(code)


# Figures of the sheet of bluemahoe-kgn-grown.
SHEET_MEMORY_TOKENS = 310_000
SHEET_SLOTS = 10
PROMPT_TOKENS = 674
TOKENS_PER_EVENT = 6
# `contact-ms`, and half a second more: a machine is in touch if it has run for so long.
CONTACT_S = 4.0 + 0.5
# A client abandons a stream after this time without an event.
CLIENT_PATIENCE_S = 2.0


class TokenStream:
    """A sound engine's answer on a streaming route.

    An event holds six tokens, and its id is the number of tokens that the answer has so far, so ids
    increase. A request takes memory for its prompt and for each token. When there is none left, the
    newest request is preempted: the tokens that it has made are sent in an event of their own, its
    memory is freed, and it is read again once there is room. Meanwhile the engine sends a comment
    each `ping_s`, if that is set. A run that resumes goes on behind `Last-Event-Id`.
    """

    READ_S = 0.011  # 674 tokens at 61.2 a millisecond
    ROOM_TOKENS = 24  # room that a request needs beside its prompt to be read again

    def __init__(self, memory_tokens, token_s=0.01, ping_s=None):
        self.memory_tokens, self.token_s, self.ping_s = memory_tokens, token_s, ping_s
        self.running = {}
        self.sent = {}
        self.preempted = set()

    def has_room(self, engine, tokens):
        return sum(job["tokens"] for job in self.running[engine.id]) + tokens <= self.memory_tokens

    async def __call__(self, engine, request, writer):
        attempt = request["attempt"]
        running = self.running.setdefault(engine.id, [])
        text = self.sent.setdefault(attempt, [])
        text.append(b"")
        made = int(request["headers"].get("last-event-id", "0"))
        total = 12 if "/p/short" in request["line"] else 120
        job = {"tokens": 0, "preempted": False}
        while not self.has_room(engine, PROMPT_TOKENS + made):
            await asyncio.sleep(self.token_s)
        job["tokens"] = PROMPT_TOKENS + made
        running.append(job)
        writer.write(
            f"HTTP/1.1 200 OK\r\n{seal(attempt)}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        unsent = 0
        try:
            while made < total:
                await asyncio.sleep(self.token_s)
                if not job["preempted"] and not self.has_room(engine, 1):
                    newest = running.pop()
                    newest["preempted"], newest["tokens"] = True, 0
                if job["preempted"]:
                    if unsent:
                        await self.event(writer, text, attempt, made)
                        unsent = 0
                    self.preempted.add(attempt)
                    engine.record.write(f"engine {engine.id} has no memory left and preempts {attempt} at token {made}")
                    await self.read_again(engine, writer, text, job, PROMPT_TOKENS + made)
                    engine.record.write(f"engine {engine.id} goes on with {attempt}")
                made, unsent, job["tokens"] = made + 1, unsent + 1, job["tokens"] + 1
                if unsent == TOKENS_PER_EVENT or made == total:
                    await self.event(writer, text, attempt, made)
                    unsent = 0
            writer.write(b"0\r\n\r\n")
        finally:
            if job in running:
                running.remove(job)

    async def read_again(self, engine, writer, text, job, tokens):
        pinged = time.monotonic()
        while not self.has_room(engine, tokens + self.ROOM_TOKENS):
            await asyncio.sleep(self.token_s)
            if self.ping_s and time.monotonic() - pinged >= self.ping_s:
                pinged = time.monotonic()
                await self.chunk(writer, text, b": ping\n\n")
        job["tokens"], job["preempted"] = tokens, False
        self.running[engine.id].append(job)
        await asyncio.sleep(self.READ_S)

    async def event(self, writer, text, attempt, made):
        await self.chunk(writer, text, f"id: {made}\ndata: {attempt} {made}\n\n".encode())

    async def chunk(self, writer, text, data):
        text[-1] += data
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await writer.drain()


async def read_stream(channel, headers):
    """The body of a stream; raises `asyncio.TimeoutError` if the client has to abandon it."""
    body, chunks = b"", read_chunks(channel.reader)
    event_at = time.monotonic()
    while True:
        left = event_at + CLIENT_PATIENCE_S - time.monotonic()
        try:
            data = await asyncio.wait_for(chunks.__anext__(), left)
        except StopAsyncIteration:
            return body
        body += data
        if b"data:" in data:
            event_at = time.monotonic()


def route(kind, timeout_ms=8000, goal_ms=500, attempts=2, **fields):
    """The only route of a scenario, `/p/`, with the figures of the users' sheets."""
    return {
        "name": "r-1", "host": HOST, "prefix": "/p/", "type": kind, "timeout-ms": timeout_ms,
        "goal-ms": goal_ms, "priority": 1, "service": "service-1", "attempts": attempts,
        "public": False, **fields,
    }


async def start_platform(record, answer, kind_of_route, engines=3, slots=64):
    """Starts the store with a manifest, and engines that answer with `answer`."""
    store = Store()
    await store.start()
    started = [Engine(store, record, "service-1", answer, slots) for _ in range(engines)]
    for engine in started:
        await engine.start()
    service = {"name": "service-1", "health-path": "/healthz", "max-conns": 400}
    store.put("op/config", manifest(1, [kind_of_route], [service]))
    return store, started
