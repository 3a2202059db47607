"""Tests of three daemons with stand-ins under faults. Each test ends with the
checker's verdict on everything that callers were told."""

import os
import signal
import threading
import time
import unittest

from callers import Caller, run_all, until_run, wait_until_serving
from checker import Checker, resumed_requests
from deployment import PROFILES, Deployment
from processes import ProcessGroup

BUILD_DIR = os.environ.get("BUILD_DIR", "build")
TOKENS = 20
# Bound of the design for work given to a server that is leaving.
LEAVING_BOUND_S = 3.0
# Longer than the time after which the others count a daemon as gone.
PAUSE_S = 4.0
# A first budget generation is in use 10 s after it was written.
SERVING_BOUND_S = 40


class RouterTest(unittest.TestCase):
    """Set-up and checks that the test cases share."""

    def setUp(self):
        self.group = ProcessGroup(os.path.abspath(BUILD_DIR))
        self.addCleanup(self.group.__exit__)
        self.profile = PROFILES["member-desk"]
        self.deployment = Deployment(self.group, self.profile)
        self.deployment.start_daemons()
        self.daemons = self.deployment.daemons
        self.caller = Caller(self.deployment.token)
        self.ended = []
        self.stopped = []
        wait_until_serving(self.caller, self.deployment, SERVING_BOUND_S)

    def ask(self, daemon, request, on_token=None, tokens=TOKENS):
        """Asks a daemon, and the others if it takes no connections any more."""
        number = self.daemons.index(daemon)
        for other in self.daemons[number:] + self.daemons[:number]:
            entry = until_run(lambda name, d=other: self.caller.ask(
                d.address, name, self.profile.question, f"Question {name}", tokens, on_token
            ), f"{request}-{other.name}")
            if entry["outcome"] != "unreached":
                break
        return entry

    def lookup(self, daemon, request):
        return until_run(lambda name: self.caller.call(
            daemon.address, name, self.deployment.service, self.profile.lookup, {"item": name}
        ), request)

    def once(self, daemon, request, key):
        return self.caller.call(
            daemon.address, request, self.deployment.service, self.profile.once, {"item": 1}, key
        )

    def slow_down(self, token_delay_ms=20):
        for engine in self.deployment.engines:
            engine.switch(token_delay_ms=token_delay_ms)

    def once_until_run(self, daemon, request, key):
        return until_run(lambda name: self.once(daemon, name, key), request)

    def executions(self, key):
        records = [service.record() for service in self.deployment.services]
        return sum(item["key"] == key for record in records for item in record["executions"])

    def assert_outcomes(self, entries, outcome):
        wrong = [(e["request"], e["outcome"], e.get("error")) for e in entries if e["outcome"] != outcome]
        self.assertEqual(wrong, [])

    def assert_some_resumed(self):
        """The fault has hit answers that were being streamed."""
        records = [engine.record() for engine in self.deployment.engines]
        self.assertNotEqual(resumed_requests(records), [])

    def assert_no_violations(self):
        checker = Checker(
            self.deployment.models(), self.deployment.classes(),
            [engine.record() for engine in self.deployment.engines],
            [service.record() for service in self.deployment.services],
            self.ended, self.stopped,
        )
        self.assertEqual([str(v) for v in checker.check(self.caller.log)], [])

    def ask_with_fault(self, fault, count=6):
        """Asks `count` questions and causes the fault after some tokens."""
        self.slow_down()
        started = threading.Event()
        entries = []

        def on_token(entry):
            if len(entry["token_times"]) == 4:
                started.set()

        jobs = [
            lambda n=n: entries.append(self.ask(self.daemons[n % 3], f"chat-{n}", on_token))
            for n in range(count)
        ]
        run_all(jobs + [lambda: (started.wait(10), fault())])
        return entries


class EngineFaultTest(RouterTest):
    """Guards against answers that are lost, cut short or wrong when an engine
    fails or leaves."""

    def test_a_silent_stage_loses_no_answer(self):
        engine = self.deployment.engines[2]
        self.assert_outcomes(self.ask_with_fault(lambda: engine.switch(silent=True)), "complete")
        self.assert_some_resumed()
        self.assert_no_violations()

    def test_a_killed_first_stage_loses_no_answer(self):
        engine = self.deployment.engines[0]
        self.assert_outcomes(self.ask_with_fault(engine.kill), "complete")
        self.assert_some_resumed()
        self.assert_no_violations()

    def test_a_killed_last_stage_loses_no_answer(self):
        engine = self.deployment.engines[4]
        self.assert_outcomes(self.ask_with_fault(engine.kill), "complete")
        self.assert_some_resumed()
        self.assert_no_violations()

    def test_a_leaving_engine_finishes_its_work_and_gets_none_after_the_bound(self):
        engine = self.deployment.engines[0]
        entries = self.ask_with_fault(lambda: engine.switch(leaving=True))
        self.assert_outcomes(entries, "complete")
        time.sleep(LEAVING_BOUND_S)
        before = len(engine.record()["executions"])
        later = [self.ask(d, f"later-{d.name}") for d in self.daemons]
        self.assert_outcomes(later, "complete")
        self.assertEqual(len(engine.record()["executions"]), before)
        self.assert_no_violations()


class PlatformFaultTest(RouterTest):
    """Guards against a table outage that spreads to calls that need no table,
    and against calls that run twice because the table's answer was lost."""

    def test_a_table_outage_spares_idempotent_calls(self):
        self.deployment.table.switch(down=True)
        entries = [self.ask(d, f"chat-{d.name}") for d in self.daemons]
        entries += [self.lookup(d, f"lookup-{d.name}") for d in self.daemons]
        self.assert_outcomes(entries, "complete")
        refused = [self.once(d, f"once-{d.name}", "key-outage") for d in self.daemons]
        self.assert_outcomes(refused, "not_run")
        self.deployment.table.switch(down=False)
        self.assertEqual(self.executions("key-outage"), 0)
        self.assert_no_violations()

    def test_a_lost_answer_to_a_claim_never_runs_a_call_twice(self):
        self.deployment.table.switch(lose_answer=True)
        for daemon in self.daemons:
            self.once(daemon, f"lost-{daemon.name}", "key-lost")
        self.deployment.table.switch(lose_answer=False)
        for daemon in self.daemons:
            self.once(daemon, f"after-{daemon.name}", "key-lost")
        self.assertLessEqual(self.executions("key-lost"), 1)
        self.assert_no_violations()


class OnceCallTest(RouterTest):
    """Guards against calls that run twice or are misreported."""

    def test_a_key_used_at_all_daemons_at_once_runs_once(self):
        entries = []
        jobs = [
            lambda d=d, n=n: entries.append(
                self.once_until_run(d, f"once-{d.name}-{n}", "key-race")
            )
            for d in self.daemons for n in range(3)
        ]
        run_all(jobs)
        self.assertEqual(self.executions("key-race"), 1)
        self.assert_outcomes(entries, "complete")
        self.assertEqual({entry["answer"]["execution"] for entry in entries}, {1})
        self.assert_no_violations()

    def test_a_lost_answer_of_the_service_is_reported_as_unknown(self):
        for service in self.deployment.services:
            service.switch(lose_answer=True)
        # Rates move between daemons, so the first call may be refused as not run
        # and told when to come back; only an admitted one reaches the service.
        entries = [self.once_until_run(self.daemons[0], "first", "key-unknown")]
        for service in self.deployment.services:
            service.switch(lose_answer=False)
        entries += [
            self.once_until_run(d, f"again-{d.name}", "key-unknown") for d in self.daemons
        ]
        self.assert_outcomes(entries, "unknown")
        self.assertEqual(self.executions("key-unknown"), 1)
        self.assert_no_violations()


class ClaimedKeyTest(RouterTest):
    """Guards against a repeat of a call that may have run being told `not_run`.
    The design page rules this out for a key that another daemon has claimed."""

    def test_a_repeat_of_a_claimed_key_is_never_told_not_run(self):
        for service in self.deployment.services:
            service.switch(lose_answer=True)
        # Only a call that was admitted claims the key; a refusal before that
        # is truthfully not_run.
        entries = [self.once_until_run(self.daemons[0], "first", "key-claimed")]
        entries += [self.once(d, f"again-{d.name}", "key-claimed") for d in self.daemons]
        self.assert_outcomes(entries, "unknown")
        self.assertEqual(self.executions("key-claimed"), 1)


class DaemonFaultTest(RouterTest):
    """Guards against daemons that misreport requests when they stop, fail or
    are paused, and against configuration changes that overwrite each other."""

    def test_a_planned_stop_interrupts_no_request(self):
        daemon = self.daemons[0]
        self.stopped.append(daemon.address)
        entries = self.ask_with_fault(lambda: daemon.process.signal(signal.SIGTERM))
        self.assert_outcomes(entries, "complete")
        self.assertEqual(daemon.process.child.wait(20), 0)
        self.assert_no_violations()

    def test_a_killed_daemon_misreports_nothing(self):
        def kill():
            self.ended.append(self.daemons[0].address)
            self.daemons[0].process.kill()

        entries = self.ask_with_fault(kill)
        others = [e for e in entries if e["daemon"] not in self.ended]
        self.assert_outcomes(others, "complete")
        self.assert_outcomes([self.ask(self.daemons[1], "after")], "complete")
        self.assert_no_violations()

    def test_a_paused_daemon_sends_no_call_that_another_has_taken_over(self):
        for service in self.deployment.services:
            service.switch(delay_ms=200)
        paused = self.daemons[0]
        keys = [f"key-pause-{n}" for n in range(4)]
        jobs = [lambda k=k: self.once(paused, f"paused-{k}", k) for k in keys]

        def pause():
            time.sleep(0.05)
            paused.process.signal(signal.SIGSTOP)
            time.sleep(PAUSE_S)
            for key in keys:
                self.once(self.daemons[1], f"other-{key}", key)
            paused.process.signal(signal.SIGCONT)

        run_all(jobs + [pause])
        for key in keys:
            self.assertLessEqual(self.executions(key), 1)
        self.assert_no_violations()

    def test_one_of_two_conflicting_changes_wins(self):
        version, document = self.deployment.configuration_in_force(self.daemons[0])
        answers = []

        def change(daemon, rate):
            changed = dict(document)
            changed["classes"] = [dict(c) for c in document["classes"]]
            changed["classes"][0]["target"] = dict(
                changed["classes"][0]["target"], requests_per_second=rate
            )
            answers.append(daemon.operator(
                "PUT", f"/v1/configuration?expected_version={version}", changed
            ))

        run_all([lambda: change(self.daemons[0], 21), lambda: change(self.daemons[1], 22)])
        self.assertEqual(sorted(status for status, _ in answers), [200, 409], answers)
        shown = {d.name: self.deployment.configuration_in_force(d)[0] for d in self.daemons}
        self.assertEqual(shown, {d.name: version + 1 for d in self.daemons}, answers)


if __name__ == "__main__":
    unittest.main()
