"""Tests of the stand-ins alone, against independently computed answers."""

import http.client
import json
import os
import time
import unittest

from engines import Stream, order_of, route_of, run_stream, start_engine, step
from expected import answer_tokens, service_result
from processes import ProcessGroup, exchange, exchange_json

BUILD_DIR = os.environ.get("BUILD_DIR", "build")
MODEL = "desk-assist"
LAYERS = 6
PROMPT = "Is the mirror in stock?\nZeile zwei, größer."
TOKENS = 12


def transact(table, mode, *operations):
    status, document = exchange_json(
        table.address, "POST", "/v1/table/transact",
        {"mode": mode, "operations": list(operations)},
    )
    assert status == 200, document
    return [result["applied"] for result in document["results"]]


class StandinTest(unittest.TestCase):
    def setUp(self):
        self.group = ProcessGroup(BUILD_DIR)
        self.addCleanup(self.group.__exit__)

    def engine(self, name, first, last, **options):
        return start_engine(self.group, name, MODEL, LAYERS, first, last, **options)

    def expected(self, request, count=TOKENS):
        return answer_tokens(MODEL, LAYERS, request, PROMPT, count)

    def order(self, request, route, **more):
        return order_of(request, MODEL, PROMPT, route, TOKENS, **more)


class ChainTest(StandinTest):
    """Guards against layers that are skipped, repeated or run out of order."""

    def check_route(self, *ranges):
        engines = [
            (self.engine(f"e{first}", first, last), first, last) for first, last in ranges
        ]
        status, records, end = run_stream(self.order("r1", route_of(*engines)))
        self.assertEqual(status, 200)
        self.assertEqual(end["finish"], "length")
        self.assertEqual([item["token"] for item in records], self.expected("r1"))
        self.assertEqual([item["position"] for item in records], list(range(TOKENS)))
        for item in records:
            self.assertEqual((item["first_layer"], item["last_layer"]), (0, LAYERS - 1))
        for process, first, last in engines:
            executions = process.record()["executions"]
            self.assertEqual([item["position"] for item in executions], list(range(TOKENS)))
            self.assertEqual({(i["first_layer"], i["last_layer"]) for i in executions}, {(first, last)})
            self.assertFalse(any(item["rebuild"] for item in executions))

    def test_one_stage(self):
        self.check_route((0, 5))

    def test_two_stages(self):
        self.check_route((0, 2), (3, 5))

    def test_three_stages(self):
        self.check_route((0, 0), (1, 3), (4, 5))

    def test_a_step_without_a_route_returns_the_activation(self):
        first, second = self.engine("a", 0, 2), self.engine("b", 3, 5)
        tokens = []
        for position in range(3):
            common = {"request": "r1", "attempt": 1, "position": position,
                      "model": MODEL, "prompt": PROMPT, "route": []}
            below = PROMPT if position == 0 else tokens[-1]
            status, document = step(first.address, activation=below, **common)
            self.assertEqual(status, 200)
            self.assertNotIn("token", document)
            status, document = step(second.address, activation=document["activation"], **common)
            tokens.append(document["token"])
        self.assertEqual(tokens, self.expected("r1", 3))

    def test_a_route_with_a_gap_is_refused(self):
        engines = [(self.engine("a", 0, 1), 0, 1), (self.engine("b", 3, 5), 3, 5)]
        _, records, end = run_stream(self.order("r1", route_of(*engines)))
        self.assertEqual(records, [])
        self.assertEqual(end["error"]["code"], "wrong_layers")


class ResumeTest(StandinTest):
    """Guards against answers that change when a stage is replaced."""

    def setUp(self):
        super().setUp()
        self.stages = [(self.engine("a", 0, 1), 0, 1), (self.engine("b", 2, 3), 2, 3),
                       (self.engine("c", 4, 5), 4, 5)]

    def fail_at(self, index, used):
        """Kills a stage after `used` tokens; returns the tokens received."""
        stream = Stream(self.order("r1", route_of(*self.stages)))
        tokens, end = [], None
        for line in stream.lines():
            if "token" not in line:
                end = line
                break
            tokens.append(line["token"])
            if len(tokens) == used:
                self.killed = self.stages[index][0]
                self.killed.kill()
        stream.close()
        return tokens, end

    def slow_down(self):
        for process, _, _ in self.stages:
            process.switch(token_delay_ms=10)

    def resume(self, tokens, attempt=2):
        order = self.order("r1", route_of(*self.stages), attempt=attempt, tokens=tokens)
        status, records, end = run_stream(order)
        self.assertEqual(status, 200)
        self.assertEqual(end.get("finish"), "length", end)
        self.assertEqual(records[0]["position"], len(tokens))
        return tokens + [item["token"] for item in records]

    def test_a_killed_stage_is_named_and_its_replacement_rebuilds(self):
        self.slow_down()
        tokens, end = self.fail_at(1, 4)
        self.assertEqual(end["error"]["peer"], "b")
        replacement = self.engine("b2", 2, 3)
        self.stages[1] = (replacement, 2, 3)
        self.assertEqual(self.resume(tokens), self.expected("r1"))
        killed = [i["position"] for i in self.killed.record()["executions"]]
        self.assertEqual(killed[:len(tokens)], list(range(len(tokens))))
        rebuilt = [i["position"] for i in replacement.record()["executions"] if i["rebuild"]]
        self.assertEqual(rebuilt, list(range(len(tokens))))
        for process in (self.stages[0][0], self.stages[2][0]):
            self.assertFalse(any(i["rebuild"] for i in process.record()["executions"]))

    def test_the_first_and_the_last_stage_can_be_replaced_together(self):
        tokens = self.expected("r1")[:5]
        self.stages[0] = (self.engine("a2", 0, 1), 0, 1)
        self.stages[2] = (self.engine("c2", 4, 5), 4, 5)
        self.assertEqual(self.resume(tokens), self.expected("r1"))

    def test_imported_state_is_used_instead_of_a_rebuild(self):
        self.slow_down()
        tokens, _ = self.fail_at(2, 4)
        source, replacement = self.stages[1][0], self.engine("b2", 2, 3)
        status, state = exchange_json(source.address, "GET", "/v1/engine/kv?request=r1")
        self.assertEqual(status, 200)
        status, _ = exchange_json(replacement.address, "PUT", "/v1/engine/kv", state)
        self.assertEqual(status, 200)
        self.stages[1] = (replacement, 2, 3)
        self.stages[2] = (self.engine("c2", 4, 5), 4, 5)
        self.assertEqual(self.resume(tokens), self.expected("r1"))
        self.assertFalse(any(i["rebuild"] for i in replacement.record()["executions"]))

    def test_wrong_state_changes_the_answer(self):
        tokens = self.expected("r1")[:4]
        self.resume(tokens)
        source = self.stages[1][0]
        _, state = exchange_json(source.address, "GET", "/v1/engine/kv?request=r1")
        state["layers"][0]["digests"][3] = "0" * 64
        exchange_json(source.address, "PUT", "/v1/engine/kv", state)
        self.assertNotEqual(self.resume(tokens, attempt=3), self.expected("r1"))

    def test_a_step_without_its_state_is_refused(self):
        status, document = step(
            self.stages[1][0].address, request="r1", attempt=1, position=3,
            activation="x", model=MODEL, prompt=PROMPT, route=[],
        )
        self.assertEqual(status, 409)
        self.assertEqual(document["error"]["code"], "kv_missing")
        self.assertEqual(document["error"]["have"], 0)

    def test_a_failed_export_is_an_error(self):
        self.resume([])
        source = self.stages[1][0]
        source.switch(kv_export_fails=True)
        status, document = exchange_json(source.address, "GET", "/v1/engine/kv?request=r1")
        self.assertEqual((status, document["error"]["code"]), (500, "kv_export_failed"))

    def test_an_old_attempt_is_refused_after_a_newer_one(self):
        self.resume([], attempt=2)
        status, _, end = run_stream(self.order("r1", route_of(*self.stages), attempt=1))
        self.assertEqual((status, end["error"]["code"]), (409, "stale_attempt"))

    def test_a_cancelled_stream_ends_and_a_later_attempt_goes_on(self):
        self.slow_down()
        stream = Stream(self.order("r1", route_of(*self.stages)))
        lines = stream.lines()
        tokens = [next(lines)["token"]]
        exchange_json(self.stages[0][0].address, "POST", "/v1/engine/cancel",
                      {"request": "r1", "attempt": 1})
        rest = list(lines)
        stream.close()
        self.assertEqual(rest[-1]["error"]["code"], "cancelled")
        tokens += [line["token"] for line in rest[:-1]]
        self.assertEqual(self.resume(tokens), self.expected("r1"))


class SwitchTest(StandinTest):
    """Guards against switches that do not produce the fault they name."""

    def test_leaving_refuses_new_work_and_finishes_old(self):
        engine = self.engine("a", 0, 5)
        engine.switch(token_delay_ms=10)
        route = route_of((engine, 0, 5))
        stream = Stream(self.order("r1", route))
        lines = stream.lines()
        next(lines)
        engine.switch(leaving=True)
        status, _, refusal = run_stream(self.order("r2", route))
        self.assertEqual((status, refusal["error"]["code"]), (503, "leaving"))
        self.assertEqual(list(lines)[-1].get("finish"), "length")
        stream.close()
        self.assertTrue(exchange_json(engine.address, "GET", "/v1/engine/status")[1]["leaving"])

    def test_silent_stops_open_connections_only(self):
        engine = self.engine("a", 0, 5)
        engine.switch(token_delay_ms=20)
        route = route_of((engine, 0, 5))
        stream = Stream(self.order("r1", route), bound=0.6)
        lines = stream.lines()
        next(lines)
        engine.switch(silent=True)
        with self.assertRaises(TimeoutError):
            list(lines)
        stream.close()
        status, records, _ = run_stream(self.order("r2", route))
        self.assertEqual(status, 200)
        self.assertEqual([i["token"] for i in records], self.expected("r2"))

    def test_lose_answer_takes_the_effect(self):
        table = self.group.standin("table", "table")
        table.switch(lose_answer=True)
        body = {"mode": "all", "operations": [{"put": {"key": "k", "value": {"n": 1}}}]}
        with self.assertRaises(TimeoutError):
            exchange(table.address, "POST", "/v1/table/transact", body, bound=0.3)
        status, item = exchange_json(table.address, "GET", "/v1/table/items/k")
        self.assertEqual((status, item["value"]), (200, {"n": 1}))

    def test_down_answers_nothing_until_it_is_up(self):
        service = self.group.standin("service", "service", service="stock-book")
        service.switch(down=True)
        with self.assertRaises((OSError, http.client.HTTPException)):
            exchange(service.address, "GET", "/status")
        service.switch(down=False)
        self.assertEqual(exchange(service.address, "GET", "/status")[0], 200)

    def test_delay_holds_each_answer(self):
        service = self.group.standin("service", "service", service="stock-book")
        service.switch(delay_ms=300)
        begin = time.monotonic()
        exchange(service.address, "GET", "/status")
        self.assertGreaterEqual(time.monotonic() - begin, 0.3)

    def test_reported_load_lags(self):
        engine = self.engine("a", 0, 5)
        engine.switch(token_delay_ms=50, load_lag_ms=60000)
        stream = Stream(self.order("r1", route_of((engine, 0, 5))))
        next(stream.lines())
        status = exchange_json(engine.address, "GET", "/v1/engine/status")[1]
        self.assertEqual(status["running"], 0)
        engine.switch(load_lag_ms=0)
        status = exchange_json(engine.address, "GET", "/v1/engine/status")[1]
        self.assertEqual(status["running"], 1)
        stream.close()

    def test_an_unknown_switch_is_an_error(self):
        table = self.group.standin("table", "table")
        status, _ = exchange_json(table.address, "PUT", "/v1/standin/switches", {"dwon": True})
        self.assertEqual(status, 400)


class OrderTest(StandinTest):
    """Guards against orders that an old lease holder could still get through."""

    def send(self, engine, fence, last_layer=5, latest=60):
        return exchange_json(engine.address, "POST", "/v1/engine/orders", {
            "fence": fence, "latest_start_ms": int((time.time() + latest) * 1000),
            "model": MODEL, "first_layer": 0, "last_layer": last_layer,
        })

    def test_an_old_fence_is_refused_unless_ignored(self):
        engine = self.engine("a", 0, 5)
        self.assertEqual(self.send(engine, 5, 3)[0], 200)
        status, document = self.send(engine, 4)
        self.assertEqual((status, document["error"]["code"]), (409, "fence"))
        state = exchange_json(engine.address, "GET", "/v1/engine/status")[1]
        self.assertEqual((state["last_layer"], state["fence"]), (3, 5))
        engine.switch(ignore_fence=True)
        self.assertEqual(self.send(engine, 4, 2)[0], 200)
        self.assertEqual([o["refused"] for o in engine.record()["orders"]], [None, "fence", None])

    def test_an_order_after_its_latest_start_is_refused(self):
        engine = self.engine("a", 0, 5)
        status, document = self.send(engine, 1, latest=-1)
        self.assertEqual((status, document["error"]["code"]), (409, "too_late"))


class PlatformTest(StandinTest):
    """Guards against conditions of the table that let two writers both win."""

    def test_conditions(self):
        table = self.group.standin("table", "table")
        put = {"put": {"key": "claim/a b", "value": {"nonce": "n1"}}}
        self.assertEqual(transact(table, "each", {**put, "if": {"absent": True}}), [True])
        self.assertEqual(transact(table, "each", {**put, "if": {"absent": True}}), [False])
        match = {"if": {"field": "nonce", "equals": "n1"}}
        other = {"if": {"field": "nonce", "equals": "n2", "or_absent": True}}
        self.assertEqual(transact(table, "each", {**put, **other}, {**put, **match}), [False, True])
        item = exchange_json(table.address, "GET", "/v1/table/items/claim%2Fa%20b")[1]
        old = {"if": {"version": item["version"] - 1}}
        now = {"if": {"version": item["version"]}}
        fresh = {"put": {"key": "claim/c", "value": 1}}
        self.assertEqual(transact(table, "all", fresh, {**put, **old}), [False, False])
        self.assertEqual(transact(table, "all", fresh, {**put, **now}), [True, True])
        found = exchange_json(table.address, "GET", "/v1/table/items?prefix=claim%2F")[1]
        self.assertEqual([i["key"] for i in found["items"]], ["claim/a b", "claim/c"])
        delete = {"delete": {"key": "claim/c"}}
        self.assertEqual(transact(table, "all", delete), [True])
        self.assertEqual(exchange(table.address, "GET", "/v1/table/items/claim/c")[0], 404)
        self.assertEqual(table.record()["writes"], 6)

    def test_an_item_written_anew_has_a_new_version(self):
        table = self.group.standin("table", "table")
        put, delete = {"put": {"key": "k", "value": 1}}, {"delete": {"key": "k"}}
        transact(table, "all", put)
        before = exchange_json(table.address, "GET", "/v1/table/items/k")[1]["version"]
        transact(table, "all", delete)
        transact(table, "all", put)
        after = exchange_json(table.address, "GET", "/v1/table/items/k")[1]["version"]
        self.assertGreater(after, before)

    def test_the_write_limit_refuses_without_effect(self):
        table = self.group.standin("table", "table", writes_per_second=1)
        refused = 0
        for number in range(3):
            body = {"mode": "all", "operations": [{"put": {"key": f"k{number}", "value": 1}}]}
            status, _ = exchange_json(table.address, "POST", "/v1/table/transact", body)
            refused += status == 503
        self.assertGreaterEqual(refused, 1)
        found = exchange_json(table.address, "GET", "/v1/table/items?prefix=k")[1]["items"]
        self.assertEqual(len(found), 3 - refused)

    def test_objects(self):
        store = self.group.standin("store", "object-store")
        self.assertEqual(exchange(store.address, "GET", "/v1/objects/a/b")[0], 404)
        exchange(store.address, "PUT", "/v1/objects/a/b", b"content")
        self.assertEqual(exchange(store.address, "GET", "/v1/objects/a/b")[2], b"content")

    def test_the_vm_list_lags(self):
        vms = self.group.standin("vms", "vm-list", lag_ms=300)
        entry = {"vm": "n1", "role": "entry", "address": "127.0.0.1:1", "zone": "z", "state": "live"}
        exchange(vms.address, "PUT", "/v1/vms", json.dumps([entry]))
        self.assertEqual(exchange_json(vms.address, "GET", "/v1/vms")[1], [])
        time.sleep(0.4)
        self.assertEqual(exchange_json(vms.address, "GET", "/v1/vms")[1], [entry])

    def test_a_service_records_each_execution(self):
        service = self.group.standin("service", "service", service="stock-book")
        headers = {"Idempotency-Key": "k1", "X-Request-Id": "r1"}
        body = json.dumps({"item": "mirror"})
        for execution in (1, 2):
            _, _, content = exchange(service.address, "POST", "/hold", body, headers)
            document = json.loads(content)
            self.assertEqual(document["execution"], execution)
            self.assertEqual(document["result"], service_result("stock-book", "hold", body))
        self.assertEqual([i["key"] for i in service.record()["executions"]], ["k1", "k1"])


if __name__ == "__main__":
    unittest.main()
