"""Stand-ins for the cases 6 to 10: the platform's store (the project's own, from
platform/tests/soak), backend servers and callers, all on loopback. The programs under test
are started with the command of deploy/system.toml."""

import asyncio
import itertools
import json
import os
import random
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path[:0] = [os.path.join(ROOT, "platform", "tests", "soak"),
                os.path.join(ROOT, "tests", "process")]
from ports import free_port  # noqa: E402, the import needs the path above
from store import Store  # noqa: E402

HOST = "rota.example"
KEY = "key-of-tenant-one"
TENANT = "tenant-one"
ZONES = ("burnaby", "surrey", "abbotsford")
HEARTBEAT_S = 1.2
STABILITY_S = 3.0  # stabilityWindowMs of the sheets.
# Bounds of the small sites, as the template of the settings takes them.
BOUNDS = {"grace_period_s": 8, "configuration_bound_ms": 2000, "server_list_bound_ms": 2000,
          "retry_budget": {"ratio": 0.2, "extra": 202, "window_s": 10}}
START_LIMIT_S = 25


class CannotRun(Exception):
    """The case could not be played, so it has no result."""


class Server:
    """One backend server of a plain service. A case overrides `answer`."""

    def __init__(self, world, service, zone, slots=6):
        self.world = world
        self.service = service
        self.zone = zone
        self.slots = slots
        self.id = f"i-{next(world.numbers):04x}"
        self.heartbeats = 0
        self.listed = False
        self.connections = set()

    async def start(self, listener=None):
        if listener is None:
            listener = socket.create_server(("127.0.0.1", 0))
        self.listener = await asyncio.start_server(self._serve, sock=listener, limit=1 << 16)
        self.address = "127.0.0.1:%d" % listener.getsockname()[1]
        self.born = int(time.time() * 1000)
        self.listed = True
        self.task = asyncio.ensure_future(self._beat())
        self.world.note(f"{self.id} of {self.service} starts at {self.address}")

    async def _beat(self):
        while self.listed:
            self.heartbeats += 1
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def publish(self):
        self.world.store.put("servers", self.id, self.row())

    def row(self):
        return json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": "ready", "coldRemainingMs": 0,
            "sequenceNumber": self.heartbeats, "born": self.born}).encode()

    async def stop(self):
        self.listed = False
        self.task.cancel()
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    @staticmethod
    def headers(attempt):
        return f"X-Attempt-Id: {attempt}\r\n"

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass  # The router closed the connection.
        except asyncio.CancelledError:
            pass  # The case ends.
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        line, headers = parse_head(head)
        if headers.get("x-expected-instance", self.id) != self.id:
            await self._skip(reader, headers)
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\n"
                         b"Content-Length: 0\r\n\r\n" % self.id.encode())
            return True
        return await self.answer(line, headers, reader, writer)

    @staticmethod
    async def _skip(reader, headers):
        await reader.readexactly(int(headers.get("content-length", "0")))

    async def answer(self, line, headers, reader, writer):
        """Runs a request and answers it. False to close the connection."""
        await self._skip(reader, headers)
        attempt = headers["x-attempt-id"]
        self.world.arrived(self, attempt)
        await asyncio.sleep(self.world.random.uniform(0.03, 0.09))
        body = f"{attempt} by {self.id}".encode()
        writer.write(("HTTP/1.1 200 OK\r\n" + self.headers(attempt) +
                      f"X-Response-Signature: {self.id}.{attempt}\r\nKeep-Alive: timeout=5\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        await writer.drain()
        return True


class Entry:
    """One process of the router, on one machine of its own."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.ports = {kind: free_port() for kind in ("front", "ready", "metrics", "peer")}
        self.process = None

    async def start(self):
        path = os.path.join(self.world.directory, self.name + ".json")
        with open(path, "w") as file:
            json.dump({"node": self.name, "availability_zone": self.zone,
                       "caller_address": f"127.0.0.1:{self.ports['front']}",
                       "readiness_address": f"127.0.0.1:{self.ports['ready']}",
                       "metrics_address": f"127.0.0.1:{self.ports['metrics']}",
                       "peer_address": f"127.0.0.1:{self.ports['peer']}",
                       "store": {"address": f"127.0.0.1:{self.world.store_port}"},
                       "first_start": True, **BOUNDS}, file)
        self.log = open(os.path.join(self.world.directory, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.world.command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
            stderr=self.log, env={"PATH": os.environ["PATH"], "QUETZALPOST_CONFIG": path})

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["ready"])
        except OSError:
            return False
        writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
        try:
            return b" 200 " in await asyncio.wait_for(reader.readline(), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.transport.abort()

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()


class World:
    def __init__(self, folder):
        self.started = time.monotonic()
        self.random = random.Random()
        self.numbers = itertools.count(1)
        self.attempts = itertools.count(1)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.temporary = tempfile.TemporaryDirectory()
        self.directory = self.temporary.name
        self.store = Store()
        self.servers, self.entries = [], []
        self.arrivals = []  # (time, server, attempt)
        self.sent_to = {}  # Entry by attempt.
        self.command = self._command()
        self.note("the disruption is on" if self.trouble else "TROUBLE=0: no disruption")

    @staticmethod
    def _command():
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            line = next(line for line in file if line.startswith("run = "))
        words = line.split("=", 1)[1].strip().strip('"').split()
        if not os.access(os.path.join(ROOT, words[0]), os.X_OK):
            raise CannotRun(f"{words[0]} is not built")
        return words

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.record.write(f"{self.now():9.3f} {text}\n")

    def arrived(self, server, attempt):
        self.arrivals.append((self.now(), server, attempt))
        self.note(f"{server.id} runs {attempt}")

    async def start(self, routes, services, entry_count):
        """`routes`: name, prefix, kind, timeoutMs, targetLatencyMs, service, maxAttempts."""
        self.store_port = await self.store.start()
        self.write_configuration(routes, services)
        for server in self.servers:
            await server.start()
        for number in range(entry_count):
            entry = Entry(self, f"front-{number}", ZONES[number % len(ZONES)])
            self.entries.append(entry)
            await entry.start()
        limit = self.now() + START_LIMIT_S
        for entry in self.entries:
            while not await entry.is_ready():
                if self.now() > limit or entry.process.returncode is not None:
                    raise CannotRun(f"{entry.name} does not become ready")
                await asyncio.sleep(0.1)
        self.note(f"{entry_count} processes are ready")

    def write_configuration(self, routes, services):
        document = {
            "version": 7,
            "routes": [{"name": name, "host": HOST, "prefix": prefix, "kind": kind,
                        "timeoutMs": timeout, "targetLatencyMs": aim, "priority": 2,
                        "service": service, "maxAttempts": attempts, "allowAnonymous": False,
                        "streamResumption": kind == "streaming"}
                       for name, prefix, kind, timeout, aim, service, attempts in routes],
            "services": [self.service_document(item) for item in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}]}
        self.store.put("op", "config", json.dumps(document).encode())

    @staticmethod
    def service_document(item):
        """`item`: a name, or a name and an engine profile."""
        name, engine = item if isinstance(item, tuple) else (item, None)
        document = {"name": name, "healthCheckPath": "/health", "connectionLimit": 52,
                    "protocol": "h1", "tls": False}
        return {**document, "engine": engine} if engine else document

    def request(self, method, path, attempt, deadline_ms, body=b""):
        text = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Remaining-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n")
        if body or method == "POST":
            text += f"Content-Length: {len(body)}\r\n"
        return (text + "\r\n").encode() + body

    def next_attempt(self, entry):
        attempt = "%016x" % next(self.attempts)
        self.sent_to[attempt] = entry
        return attempt

    async def close(self):
        for entry in self.entries:
            await entry.stop()
        for server in self.servers:
            if getattr(server, "listener", None) is not None:
                await server.stop()
        self.record.close()
        self.temporary.cleanup()


class Caller:
    """A caller with one connection to one entry, which it keeps."""

    def __init__(self, world, entry):
        self.world = world
        self.entry = entry
        self.writer = None

    async def send(self, method, path, deadline_ms, body=b""):
        """Returns the attempt, the status (0 without an answer), the headers, the body, and
        whether the answer is whole."""
        attempt = self.world.next_attempt(self.entry)
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.entry.ports["front"])
        self.world.note(f"{attempt} {method} {path} is sent to {self.entry.name}")
        status, headers, answer, whole = 0, {}, b"", False
        try:
            self.writer.write(self.world.request(method, path, attempt, deadline_ms, body))
            status, headers, answer, whole = await asyncio.wait_for(
                read_answer(self.reader), deadline_ms / 1000 + 1)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failure:
            self.world.note(f"{attempt} has no answer: {failure!r}")
        if not whole or "close" in headers.get("connection", ""):
            self.close()
        self.world.note(f"{attempt} is answered {status}, {len(answer)} bytes, "
                        f"{'whole' if whole else 'not whole'}")
        return attempt, status, headers, answer, whole

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None


def parse_head(head):
    line, *fields = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    return line, {name.strip().lower(): value.strip() for name, _, value in
                  (field.partition(":") for field in fields)}


async def read_answer(reader):
    """Reads one answer as HTTP/1.1 says; `whole` is false if it ends early."""
    line, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    status = int(line.split(" ")[1])
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return status, headers, body, True
                body += piece[:-2]
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            return status, headers, body, True
    except (OSError, asyncio.IncompleteReadError) as failure:
        return status, headers, body + getattr(failure, "partial", b""), False
    return status, headers, body, False


def reset(writer):
    """Closes a connection with a reset."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def run_case(folder, play, limit_s=115):
    """Plays a case. Exits with 1 if the rule was broken, 0 if it held, 2 if it can't run."""
    async def whole():
        world = World(folder)
        try:
            broken = await asyncio.wait_for(play(world), limit_s)
            for text in broken:
                world.note("BROKEN: " + text)
                print(text)
            world.note(f"result: {'broken' if broken else 'held'}")
            return 1 if broken else 0
        finally:
            await world.close()

    try:
        code = asyncio.run(whole())
    except (CannotRun, OSError, RuntimeError, asyncio.TimeoutError) as failure:
        print(f"cannot run: {failure!r}")
        code = 2
    sys.exit(code)
