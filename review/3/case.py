"""A service's workers are replaced one after the other, some seconds after the store was silent."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import world as w  # noqa: E402, the import needs the path above

DRAIN_S, STABLE_S = 2.0, 3.0  # drainMs, stabilityWindowMs
ENTRIES, WORKERS, CONSUMERS = 7, 6, 28
PAUSE_S = (0.1, 0.25)
WORK_S = (0.03, 0.09)  # "work ms" of the sheet: 60
SILENT_S = 4.5  # ladle-rota.toml: platform_down, how "silent lapse", for_s 4.5
ROUNDS = 5
# A process holds a call of the feed of `op` for 8 s and gives it up 1.5 s later if no answer comes.
LONG_POLL_S, CALL_TIMEOUT_S = 8.0, 1.5
LEAVES_BEFORE_S = 0.3  # A worker leaves so long before a process gives up the call.
SERVES_ON_S = 2.2  # After its entry is removed: drainMs "and a little longer".


async def consume(world, consumer, stop):
    while not stop.is_set():
        if world.random.random() < 0.5:
            await consumer.send("GET", "/cufi504/fi50/2f", 3.0)
        else:
            await consumer.send("POST", "/puxa403/2f", 3.0, b"x" * 600)
        await asyncio.sleep(world.random.uniform(*PAUSE_S))
    consumer.close()


async def next_long_poll(world, entry):
    """Waits for the next held call of the feed of `op` by this process; returns when it came."""
    known = world.store.feeds.get((entry.name, "op", True))
    while world.store.feeds.get((entry.name, "op", True)) == known:
        await asyncio.sleep(0.01)
    return world.store.feeds[entry.name, "op", True][0]


async def replace(world, zone, old):
    new = w.Worker(world, "wuno96b", zone, work_s=WORK_S)
    await new.start()
    await asyncio.sleep(0.3)
    old.unlist()
    await asyncio.sleep(SERVES_ON_S)
    world.note("worker exits", worker=old.id)
    old.exit()


async def scenario(world):
    world.configure(7, [w.route("r-1", "/cufi504/", "idempotent", "wuno96b"),
                        w.route("r-2", "/puxa403/", "non_idempotent", "wuno96b", attempts=1)],
                    [w.service("wuno96b")])
    zones = ["burnaby", "surrey", "abbotsford"]
    for number in range(WORKERS):
        await w.Worker(world, "wuno96b", zones[number % 3], work_s=WORK_S).start()
    for number in range(ENTRIES):
        zone = zones[number % 3]
        await w.Entry(world, f"front-{zone}-{number // 3 + 1}", zone).start()
    await world.wait_ready()
    stop = asyncio.Event()
    consumers = [asyncio.ensure_future(consume(world, w.Consumer(world, world.entries[n % ENTRIES]), stop))
                 for n in range(CONSUMERS)]
    await asyncio.sleep(2)
    for _ in range(ROUNDS):
        entry = world.random.choice(world.entries)
        began = await next_long_poll(world, entry)
        given_up_at = began + LONG_POLL_S + CALL_TIMEOUT_S
        await asyncio.sleep(0.2)
        if w.trouble():
            world.store.fall_silent()
            world.note("the store is silent")
        await asyncio.sleep(SILENT_S)
        world.store.speak()
        world.note("the store answers")
        await asyncio.sleep(STABLE_S)
        world.note("the store is stable")
        await asyncio.sleep(given_up_at - LEAVES_BEFORE_S - 0.3 - world.now())
        old = next(x for x in world.workers if x.listed)
        await replace(world, old.zone, old)
    stop.set()
    await asyncio.gather(*consumers)
    removed, late, entry_of, kind_of, late_ids = {}, [], {}, {}, set()
    for line in world.record:
        if line["what"] == "sent":
            entry_of[line["attempt"]] = line["entry"]
            kind_of[line["attempt"]] = line["target"]
        elif line["what"] == "entry removed":
            removed[line["worker"]] = line["at"]
        elif line["what"] == "reaches" and line["worker"] in removed:
            since = line["at"] - removed[line["worker"]]
            if since > DRAIN_S:
                late.append((line["worker"], line["attempt"], since))
                late_ids.add(line["attempt"])
    lost = [line for line in world.record if line["what"] == "answered" and line["status"] == 502
            and line["attempt"] in late_ids and kind_of[line["attempt"]].startswith("/puxa")]
    lines = [f"# {len(removed)} workers left, each while the store was stable; {len(late)} requests reached one of "
             f"them later than drainMs = 2,000 after the store had acknowledged its leaving; {len(lost)} of these "
             "were not idempotent and got no answer of a worker"]
    lines += [f"# {attempt} from {entry_of[attempt]} reached {worker} {since:.3f} s after the ack"
              for worker, attempt, since in late]
    return not late, lines


w.run(scenario, FOLDER)
