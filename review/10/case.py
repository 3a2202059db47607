"""Servers run requests and reset the connection in place of the answer."""

import asyncio
import collections
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import world as w  # noqa: E402, the import needs the path above

MAX_ATTEMPTS = 1  # Of the route.
EXCUSED = 3  # "More than three requests".
SERVERS = 3
LOSSY_SHARE, LOST_SHARE = 0.6, 0.4
LOSS_S, PAUSE_S = 4.0, 2.0
ROUNDS = 8
CALLERS = 16


class LossyServer(w.Server):
    lossy = False

    async def answer(self, line, headers, reader, writer):
        if self.lossy and self.world.random.random() < LOST_SHARE:
            await self._skip(reader, headers)
            attempt = headers["x-attempt-id"]
            self.world.arrived(self, attempt)
            await asyncio.sleep(self.world.random.uniform(0.03, 0.09))
            self.world.note(f"{self.id} loses its answer to {attempt}")
            w.reset(writer)
            return False
        return await super().answer(line, headers, reader, writer)


async def call(world, stop):
    caller = w.Caller(world, world.entries[0])
    while not stop.is_set():
        await caller.send("GET", "/lookup/2f", 3000)
        await asyncio.sleep(world.random.uniform(0.1, 0.3))
    caller.close()


async def play(world):
    for number in range(SERVERS):
        world.servers.append(LossyServer(world, "rota-desk", w.ZONES[number % 3]))
    await world.start([("lookup", "/lookup/", "idempotent", 1500, 300, "rota-desk",
                        MAX_ATTEMPTS)], ["rota-desk"], 1)
    stop = asyncio.Event()
    callers = [asyncio.ensure_future(call(world, stop)) for _ in range(CALLERS)]
    for _ in range(ROUNDS):
        await asyncio.sleep(PAUSE_S)
        if world.trouble:
            for server in world.random.sample(world.servers, round(SERVERS * LOSSY_SHARE)):
                server.lossy = True
        await asyncio.sleep(LOSS_S)
        for server in world.servers:
            server.lossy = False
    stop.set()
    await asyncio.gather(*callers)
    runs = collections.defaultdict(list)
    for _, server, attempt in world.arrivals:
        runs[attempt].append(server.id)
    over = {attempt: ids for attempt, ids in runs.items() if len(set(ids)) > MAX_ATTEMPTS}
    world.note(f"{len(runs)} requests; ran more than {MAX_ATTEMPTS} times: "
               f"{sum(len(ids) > MAX_ATTEMPTS for ids in runs.values())}; "
               f"ran on more than {MAX_ATTEMPTS} servers: {len(over)}")
    if len(over) <= EXCUSED:
        return []
    return [f"{attempt} ran on {', '.join(ids)}; the route allows {MAX_ATTEMPTS}"
            for attempt, ids in over.items()]


w.run_case(FOLDER, play)
