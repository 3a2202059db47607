"""Idempotent requests on a route with `maxAttempts` 2 while 3 of 5 workers lose 0.4 of their answers."""

import asyncio
import collections
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import world as w  # noqa: E402, the import needs the path above

MAX_ATTEMPTS = 2
WORKERS = 5
LOSSY_SHARE, LOST, WINDOW_S, WINDOWS = 0.6, 0.4, 4.0, 11  # ladle-rota.toml, day trouble-1
ENTRIES = 9  # As many machines as ladle-rota.toml has.
CONSUMERS = 36
PAUSE_S = (0.2, 0.5)


async def consume(world, consumer, stop):
    while not stop.is_set():
        await consumer.send("GET", "/cufi504/fi50/2f", 3.0)
        await asyncio.sleep(world.random.uniform(*PAUSE_S))
    consumer.close()


async def scenario(world):
    world.configure(7, [w.route("r-1", "/cufi504/", "idempotent", "wuno96b", attempts=MAX_ATTEMPTS)],
                    [w.service("wuno96b")])
    zones = ["burnaby", "surrey", "abbotsford"]
    for number in range(WORKERS):
        await w.Worker(world, "wuno96b", zones[number % 3]).start()
    for number in range(ENTRIES):
        zone = zones[number % 3]
        await w.Entry(world, f"front-{zone}-{number // 3 + 1}", zone).start()
    await world.wait_ready()
    stop = asyncio.Event()
    consumers = [asyncio.ensure_future(consume(world, w.Consumer(world, world.entries[n % ENTRIES]), stop))
                 for n in range(CONSUMERS)]
    await asyncio.sleep(12)  # The retry budget of a new process is smaller in its first 10 s.
    for _ in range(WINDOWS):
        lossy = world.random.sample(world.workers, round(WORKERS * LOSSY_SHARE))
        for worker in lossy:
            worker.lose = LOST if w.trouble() else 0.0
        world.note("answers are lost", workers=[x.id for x in lossy], share=LOST if w.trouble() else 0)
        await asyncio.sleep(WINDOW_S)
        for worker in lossy:
            worker.lose = 0.0
        world.note("no more answers are lost")
        await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*consumers)
    ran = collections.defaultdict(set)
    for line in world.record:
        if line["what"] == "runs":
            ran[line["attempt"]].add(line["worker"])
    over = {a: sorted(s) for a, s in ran.items() if len(s) > MAX_ATTEMPTS}
    lines = [f"# {len(ran)} requests ran; {len(over)} on more than maxAttempts = {MAX_ATTEMPTS} workers, "
             "each in one consumer attempt (the rule allows 3); no worker ended or was cut off"]
    lines += [f"# {attempt}: {' '.join(workers)}" for attempt, workers in sorted(over.items())]
    return len(over) <= 3, lines


w.run(scenario, FOLDER)
