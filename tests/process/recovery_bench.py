"""Measures recovery on real processes: from a fault to the next token of the
answers in flight, to the notice of a lost daemon, and what an outage of the
table does to idempotent traffic; and the latency that the router adds. Prints a
table and writes JSON. Not a test: nothing here has a bound on wall time."""

import argparse
import http.client
import json
import os
import random
import statistics
import threading
import time

from callers import Caller, run_all, wait_until_serving
from deployment import PROFILES, Deployment
from engines import start_engine
from processes import ProcessGroup

SEED = 20261204
TOKENS = 60
TOKEN_DELAY_MS = 20
QUESTIONS = 3  # In flight when the fault comes.
FAULT_AFTER_TOKENS = 10
LATENCY_CALLS = 1000
SERVING_BOUND_S = 40
NOTICE_BOUND_S = 15


def quantile(values, part):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def summary(name, values, unit):
    return {
        "name": name, "runs": len(values), "unit": unit,
        "median": statistics.median(values), "p95": quantile(values, 0.95),
        "max": max(values),
    }


class Bench:
    def __init__(self, group, runs):
        self.group = group
        self.runs = runs
        self.random = random.Random(SEED)
        self.deployment = Deployment(group, PROFILES["member-desk"])
        self.deployment.start_daemons()
        self.caller = Caller(self.deployment.token)
        wait_until_serving(self.caller, self.deployment, SERVING_BOUND_S)
        self.failed = []

    def ask_during(self, fault):
        """Gaps, in seconds, from the fault to the next token of each answer
        that was in flight and had a pause around the fault."""
        started = threading.Event()
        moment = []
        entries = []

        def on_token(entry):
            if len(entry["token_times"]) == FAULT_AFTER_TOKENS:
                started.set()

        def cause():
            started.wait(10)
            moment.append(time.time())
            fault()

        def question(number):
            daemon = self.deployment.daemons[number % len(self.deployment.daemons)]
            request = f"recovery-{self.random.getrandbits(48):012x}"
            entries.append(self.caller.ask(
                daemon.address, request, self.deployment.profile.question, request, TOKENS, on_token
            ))

        run_all([lambda n=n: question(n) for n in range(QUESTIONS)] + [cause])
        self.failed += [e for e in entries if e["outcome"] not in ("complete", "not_run")]
        return [gap for e in entries for gap in self.gap_after(e, moment[0])]

    def gap_after(self, entry, moment):
        """The longest pause after the fault, if it stands out."""
        times = [moment] + [t for t in entry["token_times"] if t > moment]
        gaps = [after - before for before, after in zip(times, times[1:])]
        longest = max(gaps, default=0)
        return [longest] if longest > 4 * TOKEN_DELAY_MS / 1000 else []

    def replace_engine(self, index):
        """Starts another engine in place of one, under a new name."""
        old = self.deployment.engines[index]
        options = dict(old.options)
        name = f"engine-{self.random.getrandbits(24):06x}"
        model = self.deployment.model
        engine = start_engine(
            self.group, name, model["name"], model["layers"], int(options["first-layer"]),
            int(options["last-layer"]), kind=options["kind"], zone=options["zone"],
        )
        engine.switch(token_delay_ms=TOKEN_DELAY_MS)
        self.deployment.engines[index] = engine
        self.deployment.publish_vms()
        self.await_backend(name)

    def await_backend(self, name):
        def routable(daemon):
            _, status = daemon.operator("GET", "/v1/status")
            return any(b["vm"] == name and b["reachable"] for b in status["backends"])

        deadline = time.monotonic() + NOTICE_BOUND_S
        while not all(routable(d) for d in self.deployment.daemons):
            if time.monotonic() > deadline:
                raise RuntimeError(f"{name} does not take part")
            time.sleep(0.1)

    def stage_fault(self, name, fault):
        for engine in self.deployment.engines:
            engine.switch(token_delay_ms=TOKEN_DELAY_MS)
        gaps = []
        for _ in range(self.runs):
            index = self.random.randrange(len(self.deployment.engines))
            engine = self.deployment.engines[index]
            gaps += self.ask_during(lambda: fault(engine))
            engine.kill()
            self.replace_engine(index)
            time.sleep(1)  # The class's rate refills.
        return summary(name, gaps, "s") if gaps else None

    def lost_daemon(self):
        """Time until the last other daemon counts a killed one as gone."""
        victim, *others = self.deployment.daemons
        victim.process.kill()
        moment = time.monotonic()
        waiting = list(others)
        while waiting and time.monotonic() - moment < NOTICE_BOUND_S:
            waiting = [d for d in waiting if self.counts_alive(d, victim.name)]
            time.sleep(0.02)
        return time.monotonic() - moment

    def counts_alive(self, daemon, name):
        _, status = daemon.operator("GET", "/v1/status")
        return any(m["node"] == name and m["state"] in ("alive", "suspect")
                   for m in status["members"])

    def look_up(self, address, path, headers, calls):
        host, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        times = []
        refused = 0
        for number in range(calls):
            begin = time.perf_counter()
            connection.request("POST", path, body=json.dumps({"item": number}), headers=headers)
            response = connection.getresponse()
            response.read()
            times.append(time.perf_counter() - begin)
            refused += response.status != 200
        connection.close()
        return times, refused

    def added_latency(self):
        """Medians of a look-up through a daemon and directly, in ms. Refused
        calls do not count; the class's rate is raised for this."""
        deployment = self.deployment
        daemon = deployment.daemons[0]
        configuration = deployment.configuration_in_force(daemon)[1]
        version = configuration["version"]
        for item in configuration["classes"]:
            item["target"]["requests_per_second"] = 1e6
        daemon.operator("PUT", f"/v1/configuration?expected_version={version}", configuration)
        # Rates of a new version are used once no daemon uses the former one.
        time.sleep(12)
        headers = self.caller.headers("latency")
        through, direct, refused = [], [], 0
        for _ in range(10):
            path = f"/v1/services/{deployment.service}/{deployment.profile.lookup}"
            times, bad = self.look_up(daemon.address, path, headers, LATENCY_CALLS // 10)
            through += times
            refused += bad
            path = f"/{deployment.profile.lookup}"
            direct += self.look_up(
                deployment.services[0].address, path, headers, LATENCY_CALLS // 10)[0]
        return {
            "name": "latency added to a look-up", "runs": LATENCY_CALLS, "unit": "ms",
            "median": 1000 * (statistics.median(through) - statistics.median(direct)),
            "direct_median": 1000 * statistics.median(direct), "refused": refused,
        }

    def table_outage(self, seconds=10):
        """Share of look-ups answered during an outage of the table, with the
        rate of the class kept."""
        self.deployment.table.switch(down=True)
        end = time.monotonic() + seconds
        outcomes = []
        while time.monotonic() < end:
            daemon = self.random.choice(self.deployment.daemons)
            request = f"outage-{len(outcomes)}"
            outcomes.append(self.caller.call(
                daemon.address, request, self.deployment.service,
                self.deployment.profile.lookup, {"item": request})["outcome"])
            time.sleep(0.05)
        self.deployment.table.switch(down=False)
        return {
            "name": "look-ups answered during a table outage", "runs": len(outcomes),
            "unit": "share", "median": outcomes.count("complete") / len(outcomes),
        }


def measure_daemon_loss(build_dir, runs):
    times = []
    for _ in range(runs):
        with ProcessGroup(build_dir) as group:
            times.append(Bench(group, 0).lost_daemon())
    return summary("daemon killed: noticed by the others", times, "s")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--output", default="")
    arguments = parser.parse_args()
    build_dir = os.path.abspath(os.environ.get("BUILD_DIR", "build"))
    results = []

    def report(result):
        if result:
            results.append(result)
            figures = "  ".join(
                f"{key} {value:.3f}" for key, value in result.items() if isinstance(value, float))
            print(f"{result['name']:42} {result['runs']:5} runs  {result['unit']:5}  {figures}",
                  flush=True)

    with ProcessGroup(build_dir) as group:
        bench = Bench(group, arguments.runs)
        report(bench.stage_fault("stage killed: next token", lambda e: e.kill()))
        report(bench.stage_fault("stage silent: next token", lambda e: e.switch(silent=True)))
        report(bench.table_outage())
        report(bench.added_latency())
        failed = len(bench.failed)
    report(measure_daemon_loss(build_dir, arguments.runs))
    print(f"seed {SEED}; answers that were lost: {failed}")
    if arguments.output:
        with open(arguments.output, "w") as file:
            json.dump({"seed": SEED, "lost": failed, "results": results}, file, indent=2)


if __name__ == "__main__":
    main()
