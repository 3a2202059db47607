"""An entry of another writer stands in the list of servers when the deployment starts."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import world as w  # noqa: E402, the import needs the path above
import wire  # noqa: E402, the project's own, beside its stand-in for the store

ENGINES_PER_ZONE = 4
ENTRIES = 3
START_S = 12.0  # Longer than the loads and recoveryS.
REQUESTS = 40
EVENTS = 5
SERVED_SHARE = 0.25


class Engine(w.Server):
    """Starts without layers, takes orders, and streams as the first engine of a chain whose
    other engines hold their parts."""

    layers = None
    order_count = 0

    def row(self):
        row = json.loads(wire.server_row(self.service, self.address, self.zone, False, self.born,
                                         self.layers, True))
        row.update(sequenceNumber=self.heartbeats, coldRemainingMs=0)
        return json.dumps(row).encode()

    async def answer(self, line, headers, reader, writer):
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        path = line.split(" ")[1]
        if path == "/v1/report":
            return self._send(writer, 200, self.report())
        if path == "/v1/order":
            return self._send(writer, self.order(json.loads(body)), {})
        attempt = headers["x-attempt-id"]
        for address, first, end in wire.parse_chain(headers["x-hop-count"]):
            part = next((e for e in self.world.servers
                         if isinstance(e, Engine) and e.address == address), None)
            if part is None or part.layers is None or first < part.layers[0] or end > part.layers[1]:
                writer.write(("HTTP/1.1 503 Service Unavailable\r\n" + self.headers(attempt) +
                              f"X-Not-Executed: 1\r\nAt-Server: {address}\r\n"
                              "Content-Length: 0\r\n\r\n").encode())
                return True
        self.world.arrived(self, attempt)
        writer.write(("HTTP/1.1 200 OK\r\n" + self.headers(attempt) +
                      f"X-Response-Signature: {self.id}.{attempt}\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {attempt}:{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        return True

    @staticmethod
    def _send(writer, status, document):
        body = json.dumps(document).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
        return True

    def report(self):
        report = {"born": self.born, "sequenceNumber": self.order_count, "busy": False}
        if self.layers:
            report["layers"] = [{"from": self.layers[0], "to": self.layers[1], "version": 1}]
        return report

    def order(self, order):
        if order.get("precondition", self.order_count) != self.order_count:
            return 409
        self.order_count += 1
        self.layers = None
        layers = (order["from"], order["to"])
        self.world.note(f"{self.id} is ordered to hold {layers}")
        load_s = wire.LOAD_TIME_S * (layers[1] - layers[0]) / wire.LAYERS
        asyncio.get_running_loop().call_later(load_s, self._loaded, layers, self.order_count)
        return 202

    def _loaded(self, layers, order):
        if order == self.order_count:
            self.layers = layers
            self.publish()


def foreign_entry():
    """An entry of another writer: most fields are missing, and its layers are of a model that
    this deployment doesn't have. Nothing listens at its address."""
    return json.dumps({"service": "draft-writer", "address": f"127.0.0.1:{w.free_port()}",
                       "zone": w.ZONES[0], "slots": 1, "state": "ready",
                       "kind": wire.ACCELERATOR_KIND,
                       "layers": [{"from": 0, "to": 2 * wire.LAYERS}]}).encode()


async def play(world):
    for zone in w.ZONES:
        world.servers.append(w.Server(world, "rota-desk", zone))
        for _ in range(ENGINES_PER_ZONE):
            world.servers.append(Engine(world, "draft-writer", zone))
    if world.trouble:
        world.store.put("servers", "entry-of-another-writer", foreign_entry())
        world.note("an entry of another writer stands in the list")
    await world.start(
        [("lookup", "/lookup/", "idempotent", 1500, 300, "rota-desk", 2),
         ("draft", "/draft/", "streaming", 20000, 500, "draft-writer", 2)],
        ["rota-desk", ("draft-writer", wire.engine_profile())], ENTRIES)
    await asyncio.sleep(START_S)
    served = {"draft": 0, "lookup": 0}
    for number in range(REQUESTS):
        for kind, method in (("draft", "POST"), ("lookup", "GET")):
            caller = w.Caller(world, world.entries[number % ENTRIES])
            _, status, _, _, whole = await caller.send(method, f"/{kind}/2f", 3000)
            caller.close()
            served[kind] += status == 200 and whole
        await asyncio.sleep(0.5)
    world.note(f"served of {REQUESTS} each: {served}")
    if not world.trouble and min(served.values()) < REQUESTS * 0.9:
        raise w.CannotRun(f"served of {REQUESTS} each: {served}")
    if served["draft"] < SERVED_SHARE * sum(served.values()) / 2:
        orders = sum(e.order_count for e in world.servers if isinstance(e, Engine))
        return [f"{served['draft']} of {REQUESTS} drafts and {served['lookup']} of {REQUESTS} "
                f"lookups were served; the engines got {orders} orders in "
                f"{world.now() - START_S:.0f} s and more"]
    return []


w.run_case(FOLDER, play)
