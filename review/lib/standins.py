"""Stand-ins for the platform's store, model engines and clients, and a runner for the entry.

Everything listens on loopback addresses at free ports. The stand-ins speak the published protocol
and run in the process of the script; the entries are separate processes, started with the command
of the deploy file.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

HOST = "127.0.0.1"
REPOSITORY = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, one line each with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


# --- HTTP over asyncio streams ---------------------------------------------------------------


async def read_head(reader):
    """Reads the start line and the headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    body = b""
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return method, target, headers, body


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} x", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# --- The platform's store --------------------------------------------------------------------


class Store:
    """Keys, transactions, leases and watches of the platform's store."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.log = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.address = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.expiry = asyncio.create_task(self.expire_leases())

    async def write(self, key, value, lease=0):
        self.revision += 1
        self.put(key, base64.b64encode(value).decode(), lease)
        await self.notify()

    async def write_json(self, key, value):
        await self.write(key, json.dumps(value).encode())

    def put(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.log.append(dict(item))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.log.append({"key": key, "revision": self.revision, "deleted": True})

    async def notify(self):
        """Wakes up the waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        bound = [key for key, item in self.items.items() if item["lease"] == lease]
        if bound:
            self.revision += 1
            for key in bound:
                self.delete(key)
            await self.notify()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [lease for lease, (_, until) in self.leases.items() if until < now]:
                await self.end_lease(lease)

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                status, document = await self.answer(*request)
                body = json.dumps(document).encode() if document is not None else b""
                writer.write(response(status, body, [("content-type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, _headers, body):
        path, _, query = target.partition("?")
        query = {name: values[0] for name, values in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as-of": self.revision}) if item else (404, {})
        if path == "/-/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > after)
            return 200, {"items": [self.items[key] for key in keys[:500]], "more-pages": len(keys) > 500, "as-of": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait-ms"]))
        if path == "/-/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/-/kv-lease":
            ttl_ms = max(1_000, json.loads(body)["ttl-ms"])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
            return 200, {"lease": lease, "ttl-ms": ttl_ms}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
            return 200, {"lease": lease, "ttl-ms": ttl_ms}
        if path.startswith("/-/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, prefix, after, wait_ms):
        until = time.monotonic() + wait_ms / 1_000
        while True:
            events = [event for event in self.log if event["revision"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as-of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def transact(self, txn):
        expected = txn.get("expected", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = [self.items[row["key"]] for row in expected if row["key"] in self.items]
                return 412, {"items": current}
        if any(row.get("lease") and row["lease"] not in self.leases for row in txn.get("writes", [])):
            return 404, {}
        self.revision += 1
        for row in txn.get("writes", []):
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in txn.get("remove", []):
            self.delete(key)
        await self.notify()
        return 200, {"revision": self.revision}


# --- Engines ---------------------------------------------------------------------------------


class Engine:
    """A model engine: registers itself, rejects what is meant for another one, runs requests."""

    def __init__(self, store, record, name, service, slots=12):
        self.store, self.record, self.name, self.service, self.slots = store, record, name, service, slots
        self.running = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await self.register()
        self.heartbeat = asyncio.create_task(self.beat())

    async def register(self):
        await self.store.write_json(f"servers/{self.name}", {
            "service": self.service, "address": self.address, "zone": "kgn-a", "version": "v1",
            "slots": self.slots, "phase": "ready", "cold-left-ms": 0, "seq": 0,
        })

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            await self.register()

    async def serve(self, reader, writer):
        # An engine serves one request at a time on a channel.
        try:
            while (request := await read_request(reader)) is not None:
                _method, target, headers, _body = request
                if target == "/healthz":
                    writer.write(response(200, b"", [("berylhook-instance-id", self.name)]))
                    continue
                attempt = headers.get("berylhook-attempt-id")
                echo = [("berylhook-attempt-id", attempt or "")]
                if headers.get("berylhook-expect-instance", self.name) != self.name:
                    writer.write(response(421, b"", echo))
                elif attempt is None:
                    writer.write(response(400, b"", [("berylhook-not-executed", "1")]))
                else:
                    await self.run_watching_close(attempt, headers, reader, writer)
                    return
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def run_watching_close(self, attempt, headers, reader, writer):
        """Runs the request, and drops it when its channel closes."""
        run = asyncio.create_task(self.run(attempt, headers, writer))
        closed = asyncio.create_task(reader.read(1))
        await asyncio.wait({run, closed}, return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        if not run.done():
            run.cancel()
            await self.on_caller_closed(attempt)
        try:
            await run
        except (asyncio.CancelledError, ConnectionError):
            pass

    async def on_caller_closed(self, attempt):
        self.record.line(f"engine {self.name}: the channel of {attempt} was closed during its run")

    def stream_head(self, attempt):
        lines = [
            "HTTP/1.1 200 OK", "content-type: text/event-stream", "transfer-encoding: chunked",
            f"berylhook-attempt-id: {attempt}", f"berylhook-response-seal: seal-{self.name}",
            f"berylhook-server-load: {self.running},0,{self.slots}",
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


# --- Clients ---------------------------------------------------------------------------------


class Channel:
    """A client's channel to an entry, kept for many requests."""

    def __init__(self, address):
        self.host, self.port = address.split(":")
        self.reader = self.writer = None

    async def open(self):
        if self.writer is None:
            self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.host, int(self.port)), 1)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, path, headers, body=b""):
        await self.open()
        lines = [f"POST {path} HTTP/1.1", "host: desk.example", f"content-length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def receive(self, on_data, gap_s):
        """Reads one answer; returns its status, and whether its body is complete.

        `on_data` gets the bytes of the body as they arrive. Raises TimeoutError if nothing arrives
        for `gap_s`.
        """
        head = await asyncio.wait_for(read_head(self.reader), gap_s)
        if head is None:
            self.close()
            return None, False
        status, headers = int(head[0].split(" ")[1]), head[1]
        try:
            if headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int(await asyncio.wait_for(self.reader.readuntil(b"\r\n"), gap_s), 16)
                    data = await asyncio.wait_for(self.reader.readexactly(size + 2), gap_s)
                    if size == 0:
                        break
                    on_data(data[:-2])
            else:
                size = int(headers.get("content-length", 0))
                on_data(await asyncio.wait_for(self.reader.readexactly(size), gap_s))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            self.close()
            return status, False
        if headers.get("connection") == "close":
            self.close()
        return status, True


# --- Entries ---------------------------------------------------------------------------------


class Entry:
    """A real entry: `target/release/berylhook entry SETTINGS`, as in the deploy file."""

    def __init__(self, folder, name, store_address, seeds_of, slack=90):
        self.folder, self.name, self.store_address, self.seeds_of, self.slack = folder, name, store_address, seeds_of, slack
        ports = [free_port() for _ in range(4)]
        self.callers, self.ready, self.peers, self.metrics = (f"{HOST}:{port}" for port in ports)
        self.path = os.path.join(folder, f"{name}.ini")
        self.process = None

    def write_settings(self):
        """The template deploy/entry.ini, filled in with the values of a small installation."""
        seeds = ",".join(entry.peers for entry in self.seeds_of())
        text = f"""[node]
name = {self.name}
data_centre = kgn-a
processor_share = 0.19
[listen]
callers = {self.callers}
ready = {self.ready}
peers = {self.peers}
metrics = {self.metrics}
[peers]
seeds = {seeds}
[store]
address = {self.store_address}
[stop]
grace_s = 8
[evacuation]
evacuate_ms =
[cold_targets]
overshoot =
slack =
[retries]
ratio = 0.2
window_s = 10
slack = {self.slack}
[regions]
own = kgn
zones = kgn-a:kgn,kgn-b:kgn,kgn-c:kgn
[agents]
port = {free_port()}
"""
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        self.write_settings()
        program = os.path.join(REPOSITORY, "target", "release", "berylhook")
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen([program, "entry", self.path], cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        channel = Channel(self.ready)
        try:
            await channel.open()
            channel.writer.write(b"GET /-/readyz HTTP/1.1\r\nhost: x\r\n\r\n")
            status, _ = await channel.receive(lambda data: None, 1)
            return status == 200
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            channel.close()

    async def until_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.05)


class CannotRun(Exception):
    """The case could not run."""


def run_case(main):
    """Runs `main(record, trouble, folder)`, which returns whether the rule was broken; exits."""
    record = Record(os.path.join(os.getcwd(), "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    async def play(folder):
        # A script that is told to end still ends the entries that it has started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(main(record, trouble, folder), 115)

    with tempfile.TemporaryDirectory() as folder:
        try:
            code = 1 if asyncio.run(play(folder)) else 0
        except CannotRun as error:
            record.line(f"cannot run: {error}")
            print(f"cannot run: {error}")
        except asyncio.TimeoutError:
            record.line("cannot run: not done after 115 s")
            print("cannot run: not done after 115 s")
        except asyncio.CancelledError:
            record.line("cannot run: told to end")
        finally:
            record.close()
    raise SystemExit(code)
