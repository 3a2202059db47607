"""A small deployment on loopback: the platform's store, servers of plain services, entry processes
with the command and the settings template of deploy/, and raw callers. Used by the cases 11 to 14."""

import asyncio
import json
import os
import re
import signal
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.dont_write_bytecode = True
for part in (("platform", "tests", "soak"), ("tests", "process")):
    sys.path.append(os.path.join(ROOT, *part))
import messages  # noqa: E402
from ports import free_port  # noqa: E402
from store import Store  # noqa: E402

HOST = "ficu95.example"
BEAT_S = 1.2  # heartbeatIntervalMs of the site file.
KEY, TENANT = "n2ctnfzs989anu6wsjnb", "hule930"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Fields of a process's settings as DEPLOY.md lists them, for a machine of ladle-rota.
BOUNDS = {"drainMs": 2000, "gracePeriodS": 8, "configApplyMs": 2000, "retryBudgetRatio": 0.2,
          "retryBudgetExtra": 202, "retryWindowS": 10}


class Record:
    """Lines of record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def render_template(fields):
    """Fills the placeholders {{a.b}} and {{a.b|json}} of the template of the deploy file."""
    def value(match):
        name, _, form = match.group(1).partition("|")
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        if form == "json" or isinstance(found, bool):
            return json.dumps(found)
        return str(found)
    with open(os.path.join(ROOT, "deploy", "settings.json.template")) as file:
        return re.sub(r"\{\{([^}]+)\}\}", value, file.read())


class PlainServer:
    """A sound server of a plain service. Runs each request that it accepts, records the run, and
    answers with its signature. It registers itself and beats, as PROTOCOL.md tells."""

    def __init__(self, world, identifier, service, zone="burnaby", slots=6):
        self.world = world
        self.id, self.service, self.zone, self.slots = identifier, service, zone, slots
        self.address = None
        self.server = None
        self.writers = set()
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.work_s = 0.02
        self.beating = None
        self.state = "ready"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.publish()
        self.beating = asyncio.ensure_future(self._beat())

    def publish(self):
        self.beats += 1
        self.world.store.put("servers", self.id, json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "born": self.born,
            "sequenceNumber": self.beats}).encode())

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            self.publish()

    def crash(self):
        """Ends at once, without a word to the store; its connections are reset."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            messages.reset_connection(writer)
        self.world.record(f"server {self.id} of {self.service} crashed")

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await messages.read_head(reader)) is not None:
                body = await messages.read_body(reader, message[1])
                if not await self.handle(message[0], message[1], body, reader, writer):
                    break
        except (OSError, messages.MessageError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def handle(self, start_line, headers, body, reader, writer):
        method, target, _ = start_line.split(" ")
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.id) != self.id:
            writer.write(messages.serialize_response(421, {"X-Instance-Id": self.id}))
            return True
        self.world.runs.append((attempt, self.id, method))
        self.world.record(f"server {self.id} ran {attempt} {method} {target} body={body!r}")
        await asyncio.sleep(self.work_s)
        answer = b"" if method == "HEAD" else f"{attempt} by {self.id}".encode()
        writer.write(messages.serialize_response(200, {
            "X-Attempt-Id": attempt, "X-Response-Signature": "s." + self.id,
            "X-Instance-Load": f"1,0,{self.slots}"}, answer))
        await writer.drain()
        return True


class Entry:
    """One entry process: the command `run` of deploy/system.toml with rendered settings."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.front, self.ready, self.metrics, self.peer = (free_port() for _ in range(4))
        self.child = None
        self.store_port = world.store_port

    async def start(self):
        fields = {
            "nodeName": self.name, "zone": self.zone, "ipAddress": "127.0.0.1",
            "internalPortRange": [self.peer, self.peer + 15], "initialBootstrap": True,
            "listenAddresses": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "limits": {"memoryMb": 260, "fileDescriptors": 4100},
            "platform": {"address": f"127.0.0.1:{self.store_port}"}, "bounds": BOUNDS}
        # The template has one metrics port for each address; the processes here share one address.
        text = render_template(fields).replace(":9464", f":{self.metrics}")
        path = os.path.join(self.world.directory, self.name + ".json")
        with open(path, "w") as file:
            file.write(text)
        self.log = open(os.path.join(self.world.directory, self.name + ".log"), "ab")
        self.child = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "packages", "apps", "quetzalpostd"), "--entry",
            cwd=ROOT, env={"PATH": os.environ["PATH"], "QUETZALPOST_CONFIG": path},
            stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.world.record(f"entry {self.name} started")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
        except OSError:
            return False
        try:
            writer.write(messages.serialize_request("GET", "/v1/readiness", {"Host": "ready"}))
            head = await asyncio.wait_for(messages.read_head(reader), 1)
            return head is not None and " 200 " in head[0]
        except (OSError, messages.MessageError, asyncio.TimeoutError):
            return False
        finally:
            writer.transport.abort()

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until or self.child.returncode is not None:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)
        self.world.record(f"entry {self.name} is ready")

    async def end(self):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            await self.child.wait()


class World:
    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory()
        self.directory = self.temporary.name
        self.store = Store()
        self.store_port = None
        self.servers, self.entries, self.runs = [], [], []
        self.version = 0
        self.attempts = 0

    async def start_store(self):
        self.store_port = await self.store.start()

    def write_configuration(self, routes, keys=None, idle_ms=15000):
        """`routes`: name -> (prefix, service, kind, further members)."""
        self.version += 1
        services = sorted({service for _, service, _, _ in routes.values()})
        document = {
            "version": self.version,
            "routes": [{"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": 1500,
                        "targetLatencyMs": 300, "priority": 2, "service": service,
                        "maxAttempts": 2 if kind == "idempotent" else 1, "allowAnonymous": False, **more}
                       for name, (prefix, service, kind, more) in routes.items()],
            "services": [{"name": name, "healthCheckPath": "/health", "connectionLimit": 52,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": idle_ms},
            "tenants": [{"name": TENANT, "apiKeys": keys or [KEY]}]}
        self.store.put("op", "config", json.dumps(document).encode())
        self.record(f"desired state {self.version}: routes {sorted(routes)}")

    def next_id(self):
        self.attempts += 1
        return f"{self.attempts:016x}"

    async def close(self):
        for entry in self.entries:
            await entry.end()
        self.temporary.cleanup()


def run(case, folder, limit_s=110):
    """Runs the coroutine function `case` with a world; exits with 0 if it returns True, 1 if it returns
    False, 2 if it could not run."""
    async def main():
        world = World(folder)
        try:
            held = await asyncio.wait_for(case(world), limit_s)
            world.record("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except Exception as failure:  # noqa: BLE001, any failure means that the case could not run.
            world.record(f"could not run: {failure!r}")
            print(f"could not run: {failure!r}", file=sys.stderr)
            return 2
        finally:
            await world.close()
    code = asyncio.run(main())
    sys.exit(code)
