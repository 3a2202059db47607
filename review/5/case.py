"""A new version raises `maxBodyBytes`; consumers then send longer bodies on their kept connections."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import world as w  # noqa: E402, the import needs the path above

CONFIG_APPLY_S = 2.0  # configApplyMs
CONSUMERS = 24
OLD_LIMIT, NEW_LIMIT, BODY = 4096, 65536, 20000


def limits(body):
    return {"maxHeaderBytes": 16384, "maxBodyBytes": body, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


async def scenario(world):
    routes = [w.route("r-2", "/puxa403/", "non_idempotent", "wuno96b", attempts=1)]
    world.configure(7, routes, [w.service("wuno96b")], limits(OLD_LIMIT if w.trouble() else NEW_LIMIT))
    zones = ["burnaby", "surrey", "abbotsford"]
    for zone in zones:
        await w.Worker(world, "wuno96b", zone, work_s=(0.01, 0.03), slots=24).start()
    for zone in zones:
        await w.Entry(world, f"front-{zone}-1", zone).start()
    await world.wait_ready()
    consumers = [w.Consumer(world, world.entries[n % 3]) for n in range(CONSUMERS)]
    await asyncio.gather(*(c.send("POST", "/puxa403/2f", 3.0, b"x" * 600) for c in consumers))
    world.configure(9, routes, [w.service("wuno96b")], limits(NEW_LIMIT))
    await asyncio.sleep(2 * CONFIG_APPLY_S)
    kept = sum(c.writer is not None for c in consumers)
    results = await asyncio.gather(*(c.send("POST", "/puxa403/2f", 3.0, b"x" * BODY) for c in consumers))
    fresh = await asyncio.gather(*(w.Consumer(world, world.entries[n % 3]).send(
        "POST", "/puxa403/2f", 3.0, b"x" * BODY) for n in range(3)))
    sent = 2 * CONSUMERS + 3
    denied = [attempt for attempt, status in results if status == 413]
    allowed = 5 + sent / 500
    lines = [f"# {len(denied)} of {len(results)} requests with a body of {BODY} bytes got 413, {2 * CONFIG_APPLY_S:.0f} s "
             f"after the ack of a version with maxBodyBytes {NEW_LIMIT}; {kept} were sent on kept connections; "
             f"on new connections: {[status for _, status in fresh]}; the rule allows {allowed:.1f} of {sent}"]
    return len(denied) <= allowed, lines


w.run(scenario, FOLDER)
