"""Runs one deployment end to end and checks every answer.

Prints one line for each part and ends with 0 only if nothing was wrong.
"""

import argparse
import os
import sys
import time

from callers import Caller, run_all, until_run, wait_until_serving
from checker import Checker
from deployment import PROFILES, Deployment
from processes import ProcessGroup

TOKENS = 24
QUESTIONS_PER_DAEMON = 3
LOOKUPS_PER_DAEMON = 5
LOAD_QUESTIONS = 12
TOKEN_DELAY_MS = 20
# A first budget generation is in use 10 s after it was written.
SERVING_BOUND_S = 40
# The design promises that an answer resumes within 1 s for 95%.
RESUME_GOAL_S = 1.0


class Scenario:
    def __init__(self, group, profile):
        self.deployment = Deployment(group, profile)
        self.profile = profile
        self.caller = Caller(self.deployment.token)
        self.rows = []
        self.ended = []

    def row(self, part, entries, note=""):
        counts = {}
        for entry in entries:
            counts[entry["outcome"]] = counts.get(entry["outcome"], 0) + 1
        text = ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
        refusals = sum(entry.get("tries", 1) - 1 for entry in entries)
        if refusals:
            note = f"{refusals} refusals before" + (", " + note if note else "")
        self.rows.append((part, len(entries), text, note))

    def expect_complete(self, part, entries, note=""):
        self.row(part, entries, note)
        return [
            f"{part}: request {e['request']} ended as {e['outcome']} ({e['status']}): "
            f"{e.get('error') or e.get('failure')}"
            for e in entries if e["outcome"] != "complete"
        ]

    def ask(self, daemon, request, on_token=None):
        """Asks until the question is admitted: the load exceeds the target."""
        return until_run(lambda name: self.caller.ask(
            daemon.address, name, self.profile.question,
            f"Question {name}", TOKENS, on_token,
        ), request)

    def questions(self):
        entries = []
        jobs = [
            lambda d=d, n=n: entries.append(self.ask(d, f"chat-{d.name}-{n}"))
            for d in self.deployment.daemons for n in range(QUESTIONS_PER_DAEMON)
        ]
        run_all(jobs)
        return self.expect_complete("answers, three daemons", entries)

    def lookups(self):
        entries = [
            until_run(lambda name, d=d, n=n: self.caller.call(
                d.address, name, self.deployment.service, self.profile.lookup, {"item": n}
            ), f"lookup-{d.name}-{n}")
            for d in self.deployment.daemons for n in range(LOOKUPS_PER_DAEMON)
        ]
        return self.expect_complete("look-ups, three daemons", entries)

    def repeated_key(self):
        """The same key through two daemons: one execution, one answer."""
        entries = [
            until_run(lambda name, d=d: self.caller.call(
                d.address, name, self.deployment.service, self.profile.once,
                {"item": 7}, key="demo-key-1",
            ), f"once-{d.name}")
            for d in self.deployment.daemons[:2]
        ]
        mistakes = self.expect_complete("one key, two daemons", entries)
        if not mistakes and entries[0]["answer"] != entries[1]["answer"]:
            mistakes.append("the repeated key got a different answer")
        return mistakes

    def failures_under_load(self):
        """Kills a stage and a daemon while answers are being streamed."""
        for engine in self.deployment.engines:
            engine.switch(token_delay_ms=TOKEN_DELAY_MS)
        survivors, victim = self.deployment.daemons[:2], self.deployment.daemons[2]
        kept, lost = [], []
        jobs = [
            lambda n=n: kept.append(self.ask(survivors[n % 2], f"load-{n}"))
            for n in range(LOAD_QUESTIONS)
        ] + [
            lambda n=n: lost.append(self.ask(victim, f"victim-{n}"))
            for n in range(LOAD_QUESTIONS // 4)
        ]
        run_all(jobs + [lambda: self.kill_during_load(victim)])
        gaps = [self.longest_gap(entry) for entry in kept]
        note = f"longest gap {max(gaps):.2f} s" if gaps else ""
        mistakes = self.expect_complete("stage killed under load", kept, note)
        self.row("daemon killed under load", lost, "callers of that daemon")
        return mistakes + self.retry_at_survivor(lost, survivors[0])

    def kill_during_load(self, victim):
        time.sleep(TOKENS * TOKEN_DELAY_MS / 1000)
        # Middle stage: it has a stage before and one after it.
        engine = self.deployment.engines[2]
        engine.kill()
        time.sleep(0.2)
        self.ended.append(victim.address)
        victim.process.kill()

    def retry_at_survivor(self, lost, survivor):
        entries = [
            self.ask(survivor, entry["request"] + "-again")
            for entry in lost if entry["outcome"] != "complete"
        ]
        return self.expect_complete("retried at another daemon", entries)

    @staticmethod
    def longest_gap(entry):
        times = entry["token_times"]
        return max((b - a for a, b in zip(times, times[1:])), default=0.0)

    def check(self):
        records = [engine.record() for engine in self.deployment.engines]
        checker = Checker(
            self.deployment.models(), self.deployment.classes(), records,
            [service.record() for service in self.deployment.services], self.ended,
        )
        return [str(violation) for violation in checker.check(self.caller.log)]

    def run(self):
        begin = time.monotonic()
        self.deployment.start_daemons()
        ready = time.monotonic() - begin
        self.rows.append(("daemons ready", len(self.deployment.daemons), f"{ready:.1f} s", ""))
        serving = wait_until_serving(self.caller, self.deployment, SERVING_BOUND_S)
        self.rows.append(("daemons serving", len(self.deployment.daemons), f"{serving:.1f} s", ""))
        mistakes = []
        for part in (self.questions, self.lookups, self.repeated_key, self.failures_under_load):
            mistakes += part()
        return mistakes + self.check()


def print_table(rows):
    print(f"{'part':<26} {'count':>5}  {'outcome':<28} note")
    for part, count, outcome, note in rows:
        print(f"{part:<26} {count:>5}  {outcome:<28} {note}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(PROFILES), default="member-desk")
    parser.add_argument("--build-dir", default=os.environ.get("BUILD_DIR", "build"))
    arguments = parser.parse_args()
    with ProcessGroup(os.path.abspath(arguments.build_dir)) as group:
        scenario = Scenario(group, PROFILES[arguments.deployment])
        mistakes = []
        try:
            mistakes = scenario.run()
        finally:
            print_table(scenario.rows)
        for mistake in mistakes:
            print("WRONG:", mistake)
        group.keep_logs = bool(mistakes)
        if mistakes:
            print("logs:", group.directory)
        print("checked:", len(scenario.caller.log), "answers,", len(mistakes), "wrong")
    return 1 if mistakes else 0


if __name__ == "__main__":
    sys.exit(main())
