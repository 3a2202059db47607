"""A process gets SIGTERM on a deployment whose `gracePeriodS` is a fraction."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import world as w  # noqa: E402, the import needs the path above

GRACE_PERIOD_S = float(os.environ.get("GRACE_PERIOD_S", "7.5"))
LAST_SIXTH_S = GRACE_PERIOD_S * 5 / 6
CONSUMERS = 16


async def consume(world, consumer, stop):
    while not stop.is_set() and consumer.entry.running:
        _, status = await consumer.send("POST", "/puxa403/2f", 3.0, b"x" * 600)
        if status is None:
            return  # The process takes no more connections; retries go to other processes.
        await asyncio.sleep(world.random.uniform(0.02, 0.1))
    consumer.close()


async def scenario(world):
    world.configure(7, [w.route("r-2", "/puxa403/", "non_idempotent", "wuno96b", attempts=1)],
                    [w.service("wuno96b")])
    zones = ["burnaby", "surrey", "abbotsford"]
    for zone in zones:
        await w.Worker(world, "wuno96b", zone, work_s=(0.1, 0.45), slots=24).start()
    grace = int(GRACE_PERIOD_S) if GRACE_PERIOD_S.is_integer() else GRACE_PERIOD_S
    for zone in zones:
        await w.Entry(world, f"front-{zone}-1", zone).start(gracePeriodS=grace)
    await world.wait_ready()
    stop = asyncio.Event()
    entry = world.entries[0]
    consumers = [asyncio.ensure_future(consume(world, w.Consumer(world, entry), stop)) for _ in range(CONSUMERS)]
    await asyncio.sleep(4)
    stopped_at = world.now()
    if w.trouble():
        entry.signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_PERIOD_S)
    stop.set()
    await asyncio.gather(*consumers)
    runs = {line["attempt"] for line in world.record if line["what"] == "runs"}
    lost = [line["attempt"] for line in world.record if line["what"] == "connection ended"
            and line["attempt"] in runs and stopped_at <= line["at"] < stopped_at + LAST_SIXTH_S]
    answered = sum(line["what"] == "answered" and line["status"] == 200 for line in world.record)
    lines = [f"# gracePeriodS {grace}: {answered} requests were answered; {len(lost)} that had been passed on to a "
             f"worker lost their connection without an answer within {LAST_SIXTH_S:.2f} s of SIGTERM; the workers "
             "were sound and the time limit is 3 s"]
    lines += [f"# lost: {attempt}" for attempt in lost]
    return not lost, lines


w.run(scenario, FOLDER)
