"""Engines whose memory runs out preempt streams for a while; no answer may be cut for that.

Two entries, eight engines. The clients of the first entry ask for letters, those of the second one
for longer reports, which fill the engines' memories.
"""

import asyncio
import random
import signal

from standins import LAST_CHUNK, Channel, Engine, Entry, Store, chunk

ENGINES = 8
PASS_S = 0.06
TOKENS_PER_EVENT = 4
PROMPT_TOKENS = {"letter": 1_000, "report": 2_000}
EVENTS = {"letter": 24, "report": 40}
AMPLE_MEMORY_TOKENS = 280_000
SHORT_MEMORY_TOKENS = 5_200  # two reports and a letter fit when they begin, not when they end
LETTER_CLIENTS = 8  # of the first entry
REPORT_CLIENTS = 16  # of the second entry
DURATION_S = 80
DEADLINE_MS = 8_000
ABANDON_AFTER_S = 2.0
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
RELOAD_EVERY_S = 8
KEY = "n2ctnfzs989anu6wsjnb"


def route(name, resumable):
    return {
        "name": name, "host": "desk.example", "prefix": f"/{name}/", "type": "streaming",
        "timeout-ms": DEADLINE_MS, "goal-ms": 500, "priority": 1, "service": "drafter", "attempts": 2,
        "public": False, "sticky": True, "resumable": resumable, "itl-target-ms": 120,
    }


def configuration(resumable):
    return {
        "version": 7,
        "routes": [route("letter", resumable), route("report", resumable)],
        "services": [{"name": "drafter", "health-path": "/healthz", "max-conns": 268}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "hule930", "api-keys": [KEY], "priority": 1}],
    }


class Generation:
    """A request at an engine."""

    def __init__(self, attempt, prompt_tokens, events, made):
        self.attempt, self.prompt_tokens, self.events, self.made = attempt, prompt_tokens, events, made
        self.tokens = asyncio.Queue()
        self.preempted_at = None

    def memory(self):
        return self.prompt_tokens + self.made * TOKENS_PER_EVENT


class BatchingEngine(Engine):
    """All running requests make one event in each pass.

    If the next pass does not fit into the memory, the newest request is preempted; it is read again
    and goes on once there is room for it.
    """

    def set_memory(self, tokens):
        self.memory_tokens = tokens
        self.batch, self.waiting = [], []
        self.longest_pause_s = 0.0
        self.passes = asyncio.create_task(self.run_passes())

    def next_pass_tokens(self, batch):
        return sum(it.memory() + TOKENS_PER_EVENT for it in batch)

    async def run_passes(self):
        while True:
            await asyncio.sleep(PASS_S)
            while len(self.batch) > 1 and self.next_pass_tokens(self.batch) > self.memory_tokens:
                newest = self.batch.pop()
                newest.preempted_at = self.record.now()
                self.waiting.insert(0, newest)
                self.record.line(f"engine {self.name}: memory has run out; preempts {newest.attempt} after event {newest.made}")
            while self.waiting and self.next_pass_tokens(self.batch + self.waiting[:1]) <= self.memory_tokens:
                self.admit(self.waiting.pop(0))
            for it in list(self.batch):
                it.made += 1
                it.tokens.put_nowait(it.made)
                if it.made == it.events:
                    self.batch.remove(it)

    def admit(self, it):
        self.batch.append(it)
        if it.preempted_at is not None:
            pause_s = self.record.now() - it.preempted_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
            self.record.line(f"engine {self.name}: goes on with {it.attempt} after {pause_s:.2f} s")
            it.preempted_at = None

    async def run(self, attempt, headers, writer):
        prompt, _answer = headers["berylhook-token-usage"].split(",")
        kind = attempt.split("-")[0]
        it = Generation(attempt, int(prompt), EVENTS[kind], int(headers.get("last-event-id", 0)))
        started = False
        self.record.line(f"engine {self.name}: accepts {attempt} after event {headers.get('last-event-id', 0)}")
        self.waiting.append(it)
        self.running += 1
        try:
            while (number := await it.tokens.get()) <= it.events:
                if not started:
                    started = True
                    writer.write(self.stream_head(attempt))
                writer.write(chunk(f"id: {number}\ndata: {attempt}/{number}\n\n".encode()))
                await writer.drain()
                if number == it.events:
                    break
            writer.write(LAST_CHUNK)
            await writer.drain()
        finally:
            self.running -= 1
            for requests in (self.batch, self.waiting):
                if it in requests:
                    requests.remove(it)


class Findings:
    def __init__(self):
        self.answers = self.complete = self.refused = self.left = 0
        self.cut_on_kept_channels = 0
        self.cut_beside_reload = 0


async def client(kind, number, entry, record, reloads, findings, until):
    channel = Channel(entry.callers)
    sent = answers_on_channel = 0
    await asyncio.sleep(random.uniform(0, 2))
    while record.now() < until:
        sent += 1
        attempt = f"{kind}-{number:02d}-{sent:03d}"
        headers = [
            ("berylhook-attempt-id", attempt), ("berylhook-deadline-ms", DEADLINE_MS), ("authorization", f"Bearer {KEY}"),
            ("berylhook-token-usage", f"{PROMPT_TOKENS[kind]},{EVENTS[kind] * TOKENS_PER_EVENT}"),
        ]
        arrivals = []
        sent_at = record.now()
        try:
            await channel.send(f"/{kind}/x", headers, b"draft")
            status, is_complete = await channel.receive(lambda data: arrivals.append(record.now()), ABANDON_AFTER_S)
        except (OSError, asyncio.TimeoutError) as error:
            findings.left += 1
            record.line(f"client: {attempt} left: {error!r}")
            channel.close()
            answers_on_channel = 0
            continue
        ended_at = record.now()
        findings.answers += 1
        if status == 200 and is_complete:
            findings.complete += 1
            answers_on_channel += 1
            record.line(f"client: {attempt} has its complete answer")
        elif status == 200:
            silence_s = ended_at - arrivals[-1] if arrivals else ended_at - sent_at
            is_in_touch = sent_at > CONTACT_S + findings.began_at
            is_beside_reload = any(at <= sent_at <= at + CONFIG_APPLY_S for at in reloads)
            findings.cut_on_kept_channels += answers_on_channel > 0 and is_in_touch
            findings.cut_beside_reload += is_beside_reload and is_in_touch
            record.line(
                f"CUT: the channel of {attempt} ends {ended_at - sent_at:.2f} s after it was sent, after {len(arrivals)} of "
                f"{EVENTS[kind]} events and {silence_s:.2f} s of silence; kept channel: {answers_on_channel > 0}; "
                f"sent within {CONFIG_APPLY_S} s after a SIGHUP: {is_beside_reload}"
            )
            answers_on_channel = 0
        else:
            findings.refused += 1
            record.line(f"client: {attempt} got {status}")
            await asyncio.sleep(0.5)
        await asyncio.sleep(random.uniform(0.1, 0.6))
    channel.close()


async def reload_settings(entry, record, reloads, until):
    """Planned work: the settings file changes, and the entry gets SIGHUP."""
    await asyncio.sleep(2 * CONTACT_S)
    while record.now() < until - RELOAD_EVERY_S:
        entry.slack = 94 if entry.slack == 90 else 90
        entry.write_settings()
        entry.signal(signal.SIGHUP)
        reloads.append(record.now())
        record.line(f"SIGHUP to {entry.name}, whose settings file has changed")
        await asyncio.sleep(RELOAD_EVERY_S)


async def play(record, trouble, folder, resumable):
    """Returns whether LOST was broken."""
    store = Store()
    await store.start()
    await store.write_json("op/config", configuration(resumable))
    engines = [BatchingEngine(store, record, f"i-{index}", "drafter") for index in range(ENGINES)]
    for engine in engines:
        engine.set_memory(SHORT_MEMORY_TOKENS if trouble else AMPLE_MEMORY_TOKENS)
        await engine.start()
    entries = []
    entries += [Entry(folder, f"entry-{index}", store.address, lambda: entries) for index in range(2)]
    findings, reloads = Findings(), []
    try:
        for entry in entries:
            entry.start()
        for entry in entries:
            await entry.until_ready()
        findings.began_at = record.now()
        until = record.now() + DURATION_S
        work = [client("letter", n, entries[0], record, reloads, findings, until) for n in range(LETTER_CLIENTS)]
        work += [client("report", n, entries[1], record, reloads, findings, until) for n in range(REPORT_CLIENTS)]
        await asyncio.gather(reload_settings(entries[0], record, reloads, until), *work)
    finally:
        for entry in entries:
            entry.stop()
    longest_s = max(engine.longest_pause_s for engine in engines)
    summary = (
        f"{findings.answers} answers, {findings.complete} complete, {findings.refused} refused or failed, {findings.left} clients left; "
        f"longest pause after which an engine went on {longest_s:.2f} s; cut beside a SIGHUP: {findings.cut_beside_reload}; "
        f"cut on kept channels at any time: {findings.cut_on_kept_channels}"
    )
    record.line(summary)
    print(summary)
    return findings.cut_beside_reload > 0 or findings.cut_on_kept_channels > 3

