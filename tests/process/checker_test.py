"""Tests of the checker on logs with planted violations. Guards against a
checker that finds nothing whatever the router does."""

import copy
import unittest

from checker import Checker
from expected import answer_tokens, service_result

MODELS = {"m": 4}
CLASSES = {"question": "m"}
PROMPT = "user: hello\n"
TOKENS = 3


def chat(request, internal=None, outcome="complete", **more):
    tokens = answer_tokens("m", 4, internal or request + ".x", PROMPT, TOKENS)
    entry = {
        "kind": "chat", "request": request, "daemon": "d1", "class": "question",
        "prompt": PROMPT, "max_tokens": TOKENS, "outcome": outcome, "status": 200,
        "content": "".join(tokens), "retry_after": None,
    }
    return dict(entry, **more)


def refused_chat(request):
    return chat(request, outcome="not_run", status=503, content="", retry_after="1")


def executions(internal, attempt=1, positions=range(TOKENS), rebuild=False):
    return [
        {"request": internal, "attempt": attempt, "position": position,
         "first_layer": first, "last_layer": last, "rebuild": rebuild}
        for position in positions for first, last in ((0, 1), (2, 3))
    ]


def once(request, key, outcome="complete", **more):
    entry = {
        "kind": "once", "request": request, "daemon": "d1", "service": "s",
        "operation": "hold", "key": key, "body": '{"item": 1}', "outcome": outcome,
        "status": 200, "result": service_result("s", "hold", '{"item": 1}'),
        "retry_after": None,
    }
    return dict(entry, **more)


def lookup(request, body, **more):
    entry = once(request, "", body=body, result=service_result("s", "price", body))
    return dict(entry, kind="lookup", operation="price", **more)


def call(request, key):
    return {"request": request + ".x", "key": key, "operation": "hold"}


class CheckerTest(unittest.TestCase):
    def setUp(self):
        self.log = [
            chat("r1"), chat("r2"), refused_chat("r3"), once("h1", "k1"),
            once("h2", "k1"), lookup("l1", "1"), lookup("l2", "2"),
            once("h3", "k2", outcome="not_run", status=503, result=None, retry_after="1"),
            once("h4", "k2"), once("h5", "k3", outcome="unknown", status=504, result=None),
        ]
        self.engine = executions("r1.x") + executions("r2.x")
        self.calls = [
            call("h1", "k1"), call("h4", "k2"), call("l1", ""), call("l2", ""),
        ]

    def kinds(self, ended_daemons=(), stopped_daemons=()):
        checker = Checker(
            MODELS, CLASSES, [{"executions": self.engine}],
            [{"service": "s", "executions": self.calls}], ended_daemons,
            stopped_daemons,
        )
        return [(v.kind, v.request) for v in checker.check(copy.deepcopy(self.log))]

    def test_a_correct_run_has_no_violations(self):
        self.assertEqual(self.kinds(), [])

    def test_a_resumed_answer_with_a_rebuild_has_no_violations(self):
        self.engine += executions("r1.x", attempt=2, positions=[0, 1], rebuild=True)
        self.engine += executions("r1.x", attempt=2, positions=[2])
        self.assertEqual(self.kinds(), [])

    def test_a_missing_end_is_lost(self):
        self.log[0]["outcome"] = "broken"
        self.assertEqual(self.kinds(), [("lost", "r1")])

    def test_a_missing_end_at_a_killed_daemon_is_no_violation(self):
        self.log[0].update(outcome="broken", daemon="d2")
        self.assertEqual(self.kinds(["d2"]), [])

    def test_a_stopped_daemon_may_refuse_connections_but_not_break_answers(self):
        self.log[0].update(outcome="broken", daemon="d2")
        self.assertEqual(self.kinds(stopped_daemons=["d2"]), [("lost", "r1")])
        self.log[0].update(outcome="unreached")
        self.engine = executions("r2.x")
        self.assertEqual(self.kinds(stopped_daemons=["d2"]), [])
        self.assertEqual(self.kinds(), [("lost", "r1")])

    def test_a_partial_answer_of_a_killed_daemon_must_be_right(self):
        self.log[0].update(outcome="broken", daemon="d2", content="00000000 ")
        self.assertEqual(self.kinds(["d2"]), [("misreported", "r1")])

    def test_an_answer_cut_short_is_lost(self):
        self.log[0]["content"] = self.log[0]["content"][:-9]
        self.assertEqual(self.kinds(), [("lost", "r1")])

    def test_a_token_given_twice_is_found(self):
        content = self.log[0]["content"]
        self.log[0]["content"] = content[:9] + content
        self.assertEqual(len(self.kinds()), 1)

    def test_answers_of_other_requests_are_crossed(self):
        first, second = self.log[0], self.log[1]
        first["content"], second["content"] = second["content"], first["content"]
        self.assertEqual(self.kinds(), [("crossed", "r1"), ("crossed", "r2")])

    def test_a_token_of_another_request_is_found(self):
        self.log[0]["content"] = self.log[0]["content"][:9] + self.log[1]["content"][9:]
        self.assertEqual(self.kinds(), [("misreported", "r1")])

    def test_a_layer_run_twice_in_an_attempt_is_doubled(self):
        self.engine += executions("r1.x", positions=[1])
        self.assertEqual(self.kinds(), [("doubled", "r1.x")])

    def test_a_complete_answer_needs_every_layer(self):
        self.engine = [
            item for item in self.engine
            if not (item["request"] == "r1.x" and item["position"] == 1 and item["first_layer"] == 2)
        ]
        self.assertEqual(self.kinds(), [("misreported", "r1")])

    def test_a_rebuild_is_no_run(self):
        for item in self.engine:
            if item["request"] == "r1.x" and item["position"] == 2:
                item["rebuild"] = True
        self.assertEqual(self.kinds(), [("misreported", "r1")])

    def test_a_question_reported_as_not_run_must_not_have_run(self):
        self.engine += executions("r3.x", positions=[0])
        self.assertEqual(self.kinds(), [("misreported", "r3")])

    def test_not_run_needs_a_time_to_come_back(self):
        self.log[2]["retry_after"] = None
        self.assertEqual(self.kinds(), [("misreported", "r3")])

    def test_a_key_that_ran_twice_is_doubled(self):
        self.calls.append(call("h2", "k1"))
        self.assertEqual(self.kinds(), [("doubled", "k1")])

    def test_a_call_reported_as_not_run_must_not_have_run(self):
        self.calls[1] = call("h3", "k2")
        self.assertEqual(self.kinds(), [("misreported", "h3")])

    def test_a_complete_call_must_have_run(self):
        del self.calls[0]
        self.assertEqual(self.kinds(), [("misreported", "h1"), ("misreported", "h2")])

    def test_an_unknown_call_may_have_run(self):
        self.calls.append(call("h5", "k3"))
        self.assertEqual(self.kinds(), [])

    def test_crossed_results_of_calls(self):
        first, second = self.log[5], self.log[6]
        first["result"], second["result"] = second["result"], first["result"]
        self.assertEqual(self.kinds(), [("crossed", "l1"), ("crossed", "l2")])

    def test_a_wrong_result_is_misreported(self):
        self.log[5]["result"] = "0" * 64
        self.assertEqual(self.kinds(), [("misreported", "l1")])

    def test_unknown_is_no_answer_to_a_lookup(self):
        self.log[5].update(outcome="unknown", result=None)
        self.assertEqual(self.kinds(), [("misreported", "l1")])

    def test_a_call_that_nobody_made_is_found(self):
        self.calls.append(call("h9", "k9"))
        self.assertEqual(self.kinds(), [("misreported", "k9")])


if __name__ == "__main__":
    unittest.main()
