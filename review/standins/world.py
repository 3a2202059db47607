"""Stand-ins for the platform's store, plain workers and consumers, and the entry processes under
test. Everything listens on loopback addresses that are drawn for each run."""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

import http1
import template

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "packages", "apps", "quetzalpostd")
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HEARTBEAT_S = 1.2
SECOND_START_S = 1.0  # Delay after which the platform starts an ended process again.


class World:
    """One run. `record` lists what was sent, answered and run, in order of time."""

    def __init__(self, seed=None):
        self.random = random.Random(seed)
        drawn = random.SystemRandom()
        self.net = f"127.{drawn.randrange(16, 250)}.{drawn.randrange(1, 250)}"
        self.hosts = itertools.count(10)
        self.began = time.monotonic()
        self.directory = tempfile.mkdtemp(prefix="qp-review-")
        self.record = []
        self.store = Store(self)
        self.workers = []
        self.entries = []
        self.attempts = itertools.count(1)
        self.tasks = []

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **fields):
        self.record.append({"at": round(self.now(), 4), "what": what, **fields})

    def address(self, port):
        return f"{self.net}.{next(self.hosts)}:{port}"

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    def configure(self, version, routes, services, limits=None):
        document = {
            "version": version, "routes": routes, "services": services,
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                                 "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        }
        self.store.put("op", "config", json.dumps(document).encode())
        self.note("configuration acknowledged", version=version)

    async def wait_ready(self, limit_s=25.0):
        end = self.now() + limit_s
        for entry in self.entries:
            while not await entry.is_ready():
                if self.now() > end or not entry.running:
                    raise RuntimeError(f"{entry.name} isn't ready:\n{entry.log_tail()}")
                await asyncio.sleep(0.1)
            self.note("ready", entry=entry.name)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for entry in self.entries:
            await entry.kill()
        for worker in self.workers:
            worker.exit()
        self.store.close()
        if "KEEP_LOGS" in os.environ:
            print("logs in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def write_record(self, path, lines=()):
        with open(path, "w") as file:
            for line in lines:
                file.write(line + "\n")
            for entry in self.record:
                file.write(json.dumps(entry) + "\n")


class Store:
    """Rows, transactions and the feed of PROTOCOL.md. Each entry process has a listener of its own,
    so that calls can be told apart. While `silent`, requests get no answer; a connection on which an
    answer was lost delivers nothing further, and the calls held at that moment are lost too."""

    def __init__(self, world):
        self.world = world
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Event()
        self.silent = False
        self.connections = set()
        self.servers = []
        self.feeds = {}  # (listener, table): time and wait of the last call of the feed.

    async def listen(self, caller):
        address = self.world.address(8223)
        host, port = address.split(":")
        self.servers.append(await asyncio.start_server(
            lambda r, w: self._serve(caller, r, w), host, int(port)))
        return address

    def close(self):
        for server in self.servers:
            server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()

    def put(self, table, key, value):
        self._apply([(table, key, value)])

    def remove(self, table, key):
        self._apply([(table, key, None)])

    def fall_silent(self):
        self.silent = True
        for connection in self.connections:
            connection.lost = True

    def speak(self):
        self.silent = False

    def _apply(self, writes):
        self.version += 1
        for table, key, value in writes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, self.version)
            self.changes.append((self.version, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    class _Connection:
        def __init__(self, writer):
            self.writer = writer
            self.lost = False

    async def _serve(self, caller, reader, writer):
        connection = Store._Connection(writer)
        self.connections.add(connection)
        try:
            while (head := await http1.read_head(reader)) is not None:
                start, headers = head
                body = await http1.read_body(reader, headers)
                if self.silent:
                    connection.lost = True
                if connection.lost:
                    continue
                method, target, _ = start.split(" ")
                status, document = await self._answer(caller, method, target, body)
                if connection.lost:
                    continue
                writer.write(http1.response(status, {"Content-Type": "application/json"},
                                            json.dumps(document).encode()))
                await writer.drain()
        except (OSError, http1.Broken, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            writer.transport.abort()

    async def _answer(self, caller, method, target, body):
        split = urlsplit(target)
        query = {name: values[0]
                 for name, values in parse_qs(split.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if (method, split.path) == ("POST", "/v1/rows-tx"):
            return self._transact(json.loads(body))
        if split.path == "/v1/rows-get":
            return self._get(query)
        if split.path == "/v1/rows-feed":
            return await self._feed(caller, query)
        return 404, {}

    def _transact(self, document):
        for item in document["precondition"]:
            _, version = self.rows.get((item["table"], item["key"]), (b"", 0))
            if version != item["schemaVersion"]:
                return 412, {"rows": [], "schemaVersion": self.version, "nowMs": self._now_ms()}
        self._apply([(i["table"], i["key"], base64.b64decode(i["value"])) for i in document["writes"]]
                    + [(i["table"], i["key"], None) for i in document["removals"]])
        return 200, {"schemaVersion": self.version, "nowMs": self._now_ms()}

    def _get(self, query):
        first, end = query.get("from", ""), query.get("to", "")
        keys = sorted(key for table, key in self.rows if table == query["table"]
                      and key >= first and (not end or key < end))
        rows = [self._row(query["table"], key, *self.rows[query["table"], key]) for key in keys[:500]]
        return 200, {"rows": rows, "hasMore": len(keys) > 500, "schemaVersion": self.version,
                     "nowMs": self._now_ms()}

    async def _feed(self, caller, query):
        table, after, wait_s = query["table"], int(query["afterRevision"]), int(query["waitMs"]) / 1000
        self.feeds[caller, table, wait_s > 0] = (self.world.now(), wait_s)
        end = self.world.now() + wait_s
        while True:
            rows = [self._row(t, key, value, version)
                    for version, t, key, value in self.changes if t == table and version > after]
            left = end - self.world.now()
            if rows or left <= 0:
                return 200, {"rows": rows, "schemaVersion": self.version, "nowMs": self._now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _now_ms(self):
        return int(self.world.now() * 1000)

    @staticmethod
    def _row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "schemaVersion": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row


class Worker:
    """A worker of a plain service with `slots` places and a queue. `lose` is the share of requests
    that it runs and whose answers it loses with a reset."""

    def __init__(self, world, service, zone, work_s=(0.03, 0.09), slots=6):
        self.world = world
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.id = f"i-{world.random.randrange(16 ** 10):010x}"
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.lose = 0.0
        self.up = False
        self.listed = False
        self.state = "ready"
        self.running = 0
        self.free = asyncio.Semaphore(slots)
        self.writers = set()
        world.workers.append(self)

    async def start(self):
        self.address = self.world.address(8120)
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.up = self.listed = True
        self.publish()
        self.world.spawn(self._beat())

    def publish(self):
        self.beats += 1
        self.world.store.put("servers", self.id, json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
            "sequenceNumber": self.beats, "born": self.born}).encode())

    async def _beat(self):
        while self.listed and self.up:
            await asyncio.sleep(HEARTBEAT_S)
            if self.listed and self.up and not self.world.store.silent:
                self.publish()

    def unlist(self):
        """Leaves as workers do that never report `draining`: the entry is removed at once."""
        self.listed = False
        self.world.store.remove("servers", self.id)
        self.world.note("entry removed", worker=self.id)

    def exit(self):
        if self.up:
            self.up = False
            self.server.close()
            for writer in list(self.writers):
                http1.reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await http1.read_head(reader)) is not None:
                start, headers = head
                body = await http1.read_body(reader, headers)
                if not await self._handle(start, headers, body, reader, writer):
                    break
        except (OSError, http1.Broken, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, start, headers, body, reader, writer):
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.id) != self.id:
            writer.write(http1.response(421, {"X-Instance-Id": self.id}))
            return True
        self.world.note("reaches", worker=self.id, attempt=attempt)
        async with self.free:
            self.running += 1
            self.world.note("runs", worker=self.id, attempt=attempt, start=start)
            try:
                await asyncio.sleep(self.world.random.uniform(*self.work_s))
            finally:
                self.running -= 1
        if self.world.random.random() < self.lose:
            self.world.note("loses its answer", worker=self.id, attempt=attempt)
            http1.reset(writer)
            return False
        self.world.note("answers", worker=self.id, attempt=attempt)
        writer.write(http1.response(200, {
            "X-Attempt-Id": attempt, "X-Response-Signature": f"{self.id}.{attempt}",
            "X-Instance-Load": f"{self.running},0,{self.slots}", "Keep-Alive": "timeout=10"},
            f"{attempt} by {self.id}".encode()))
        await writer.drain()
        return True


class Entry:
    """The project's program with the command and the settings of the deploy file."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.child = None
        self.starts = 0
        world.entries.append(self)

    async def start(self, **bounds):
        if self.starts == 0:
            self.host = f"{self.world.net}.{next(self.world.hosts)}"
            self.store_address = await self.world.store.listen(self.name)
            self.log = open(os.path.join(self.world.directory, self.name + ".log"), "ab")
        with open(os.path.join(ROOT, "deploy", "settings.json.template")) as file:
            text = template.render(file.read(), template.boot_fields(
                self.name, self.zone, self.host, self.store_address, self.starts == 0, **bounds))
        path = os.path.join(self.world.directory, self.name + ".json")
        with open(path, "w") as file:
            file.write(text)
        self.starts += 1
        self.child = await asyncio.create_subprocess_exec(
            PROGRAM, "--entry", cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
            stderr=self.log, env={"PATH": os.environ.get("PATH", ""), "QUETZALPOST_CONFIG": path})
        self.world.note("started", entry=self.name)

    @property
    def running(self):
        return self.child is not None and self.child.returncode is None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, 8220)
        except OSError:
            return False
        try:
            writer.write(http1.message("GET /v1/readiness HTTP/1.1", {"Host": "ready"}))
            head = await asyncio.wait_for(http1.read_head(reader), 1.0)
            return head is not None and " 200 " in head[0]
        except (OSError, http1.Broken, asyncio.TimeoutError):
            return False
        finally:
            writer.transport.abort()

    def signal(self, number):
        if self.running:
            self.world.note("signal", entry=self.name, number=int(number))
            self.child.send_signal(number)

    async def kill(self):
        if self.running:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            await self.child.wait()

    def log_tail(self):
        with open(self.log.name, errors="replace") as file:
            return "".join(file.readlines()[-8:])


class Consumer:
    """Sends one request after the other on a kept connection to one entry process."""

    def __init__(self, world, entry):
        self.world = world
        self.entry = entry
        self.reader = self.writer = None

    async def send(self, method, target, wait_s, body=b"", extra=()):
        """Sends one attempt. Returns its id and the status; 0 if there was no complete answer."""
        attempt = f"{next(self.world.attempts):016x}"
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.entry.host, 8227), 1.0)
        except (OSError, asyncio.TimeoutError):
            self.writer = None
            return attempt, None
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "Authorization": f"Token {KEY}",
                   "X-Deadline-Remaining-Ms": int(wait_s * 1000), **dict(extra)}
        self.world.note("sent", attempt=attempt, entry=self.entry.name, target=target)
        status = 0
        keep = False
        try:
            self.writer.write(http1.message(f"{method} {target} HTTP/1.1", headers,
                                            body if method == "POST" else None))
            status, keep, answer = await asyncio.wait_for(self._read(), wait_s)
            self.world.note("answered", attempt=attempt, status=status, body=answer.decode("latin-1"))
        except asyncio.TimeoutError:
            self.world.note("gave up", attempt=attempt)
        except (OSError, http1.Broken) as error:
            self.world.note("connection ended", attempt=attempt, why=str(error))
        if not keep:
            self.close()
        return attempt, status

    async def _read(self):
        head = await http1.read_head(self.reader)
        if head is None:
            raise http1.Broken("closed without an answer")
        start, headers = head
        body = await http1.read_body(self.reader, headers)
        keep = "close" not in headers.get("connection", "").lower()
        return int(start.split(" ")[1]), keep, body

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None


def route(name, prefix, kind, service, timeout_ms=1500, target_ms=300, attempts=2, **more):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": target_ms, "priority": 2, "service": service, "maxAttempts": attempts,
            "allowAnonymous": False, **more}


def service(name):
    return {"name": name, "healthCheckPath": "/health", "connectionLimit": 100, "protocol": "h1",
            "tls": False}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(scenario, folder):
    """Runs `scenario(world)`, which returns whether the rule held and lines on the result. Exits
    with 0 if it held, 1 if it was broken and 2 if the case couldn't run."""
    async def whole():
        world = World()
        try:
            return (*await scenario(world), world)
        finally:
            await world.close()
    try:
        held, lines, world = asyncio.run(asyncio.wait_for(whole(), 115))
    except Exception as error:  # The case couldn't run, whatever the reason.
        print(f"could not run: {error!r}")
        sys.exit(2)
    world.write_record(os.path.join(folder, "record.txt"), lines)
    print("\n".join(lines))
    sys.exit(0 if held else 1)
