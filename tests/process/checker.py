"""Compares what callers were told with what the stand-ins ran.

Input is a list of log entries as callers.py writes them and the records of the
engines and services. Output is a list of Violation. The rules follow the
invariants of docs/design.md:

* every layer runs exactly once for each token, in order;
* each caller gets the complete answer to its own request;
* what was reported as not run did not run;
* a call that is not idempotent runs at most once.
"""

import collections
import dataclasses

from expected import answer_tokens, service_result

# An answer in one of these states has reached its caller as a final answer.
FINAL_OUTCOMES = ("complete", "not_run", "unknown")
# The caller knows that nothing ran: it was told so, or sent nothing.
NOT_RUN_OUTCOMES = ("not_run", "unreached")
OVERLOAD_STATUSES = (429, 503)


@dataclasses.dataclass(frozen=True)
class Violation:
    kind: str  # lost, doubled, crossed or misreported
    request: str
    detail: str

    def __str__(self):
        return f"{self.kind}: request {self.request}: {self.detail}"


def belongs_to(internal, request):
    """Whether a request id of the router was made from a caller's id.

    The router appends a dot and a part of its own, since callers may use an id
    more than once.
    """
    return internal == request or internal.startswith(request + ".")


class ExecutionIndex:
    """Executions of all engines by the router's request id."""

    def __init__(self, engine_records):
        self.by_request = collections.defaultdict(list)
        for record in engine_records:
            for item in record["executions"]:
                self.by_request[item["request"]].append(item)
        self.by_caller = collections.defaultdict(set)
        for internal in self.by_request:
            self.by_caller[internal].add(internal)
            self.by_caller[internal.rpartition(".")[0]].add(internal)

    def requests_of(self, caller_request):
        return sorted(self.by_caller.get(caller_request, ()))


class Checker:
    """Collects the violations of one run.

    `models` maps model names to layers, `classes` class names to model names.
    `ended_daemons` are the addresses of daemons that were killed in the run:
    their callers may be left without a final answer. `stopped_daemons` are
    those that stopped as planned: they may only refuse connections afterwards.
    """

    def __init__(self, models, classes, engine_records, service_records,
                 ended_daemons=(), stopped_daemons=()):
        self.models = models
        self.classes = classes
        self.engines = ExecutionIndex(engine_records)
        self.calls = [
            dict(item, service=record["service"])
            for record in service_records
            for item in record["executions"]
        ]
        self.ended_daemons = set(ended_daemons)
        self.gone_daemons = self.ended_daemons | set(stopped_daemons)
        self.violations = []

    def check(self, log):
        """Violations of a whole log, in its order."""
        for entry in log:
            self.check_outcome(entry)
            if entry["kind"] == "chat":
                self.check_chat(entry, log)
            else:
                self.check_call(entry, log)
        self.check_layers()
        self.check_keys(log)
        return self.violations

    def report(self, kind, request, detail):
        self.violations.append(Violation(kind, request, detail))

    # Outcomes.

    def check_outcome(self, entry):
        request, outcome = entry["request"], entry["outcome"]
        if outcome not in FINAL_OUTCOMES:
            excused = self.gone_daemons if outcome == "unreached" else self.ended_daemons
            if entry["daemon"] not in excused:
                self.report("lost", request, f"no final answer ({outcome})")
            return
        if outcome == "not_run" and entry["status"] in OVERLOAD_STATUSES:
            if not entry.get("retry_after"):
                self.report("misreported", request, "not_run without Retry-After")
        if outcome == "unknown" and entry["kind"] == "lookup":
            self.report("misreported", request, "unknown for an idempotent call")

    # Answers of models.

    def expected(self, entry, internal):
        model = self.classes[entry["class"]]
        return answer_tokens(
            model, self.models[model], internal, entry["prompt"], entry["max_tokens"]
        )

    def check_chat(self, entry, log):
        request = entry["request"]
        internals = self.engines.requests_of(request)
        if entry["outcome"] in NOT_RUN_OUTCOMES:
            ran = [i for i in internals if self.engines.by_request[i]]
            if ran:
                self.report("misreported", request, f"not run, but engines ran {ran[0]}")
            return
        content = entry["content"]
        answers = {i: "".join(self.expected(entry, i)) for i in internals}
        if entry["outcome"] == "complete":
            matching = [i for i, answer in answers.items() if answer == content]
            if matching:
                self.check_complete(entry, matching[0])
                return
        elif any(answer.startswith(content) for answer in answers.values()) or not content:
            return
        if entry["outcome"] == "complete" and any(
            answer.startswith(content) for answer in answers.values()
        ):
            self.report("lost", request, f"answer cut short after {len(content)} bytes")
        elif self.is_answer_of_another(entry, log):
            self.report("crossed", request, "content of another request")
        else:
            self.report("misreported", request, "content is not the expected answer")

    def is_answer_of_another(self, entry, log):
        """Whether the first token is that of another request in the log."""
        first = entry["content"][:9]
        for other in log:
            if other["kind"] != "chat" or other["request"] == entry["request"]:
                continue
            probe = dict(other, max_tokens=1)
            for internal in self.engines.requests_of(other["request"]):
                if first and "".join(self.expected(probe, internal)) == first:
                    return True
        return False

    def check_complete(self, entry, internal):
        """Each layer has run for each position of a complete answer."""
        layers = self.models[self.classes[entry["class"]]]
        covered = collections.defaultdict(set)
        for item in self.engines.by_request[internal]:
            if not item["rebuild"]:
                covered[item["position"]].update(
                    range(item["first_layer"], item["last_layer"] + 1)
                )
        for position in range(entry["max_tokens"]):
            missing = set(range(layers)) - covered[position]
            if missing:
                self.report(
                    "misreported", entry["request"],
                    f"complete, but layers {sorted(missing)} did not run at {position}",
                )
                return

    def check_layers(self):
        """No attempt runs a layer more than once for a position."""
        for internal, items in self.engines.by_request.items():
            runs = collections.Counter()
            for item in items:
                if item["rebuild"]:
                    continue
                for layer in range(item["first_layer"], item["last_layer"] + 1):
                    runs[(item["attempt"], item["position"], layer)] += 1
            repeated = sorted(key for key, count in runs.items() if count > 1)
            if repeated:
                attempt, position, layer = repeated[0]
                self.report(
                    "doubled", internal,
                    f"layer {layer} ran twice at {position} in attempt {attempt}",
                )

    # Calls of plain services.

    def executions_of(self, request):
        return [item for item in self.calls if belongs_to(item["request"], request)]

    def check_call(self, entry, log):
        request = entry["request"]
        if entry["outcome"] in NOT_RUN_OUTCOMES:
            if self.executions_of(request):
                self.report("misreported", request, "not run, but the service ran it")
            return
        if entry["outcome"] != "complete":
            return
        expected = service_result(entry["service"], entry["operation"], entry["body"])
        result = entry.get("result")
        if result == expected:
            if not self.ran_for(entry):
                self.report("misreported", request, "complete, but no service ran it")
            return
        others = (o for o in log if o["kind"] != "chat" and o["request"] != request)
        crossed = any(
            result == service_result(o["service"], o["operation"], o["body"]) for o in others
        )
        self.report(
            "crossed" if crossed else "misreported", request,
            "the result is that of another call" if crossed else "the result is wrong",
        )

    def ran_for(self, entry):
        if entry["kind"] == "once":
            return any(item["key"] == entry["key"] for item in self.calls)
        return bool(self.executions_of(entry["request"]))

    def check_keys(self, log):
        """No key of a call that is not idempotent has run more than once."""
        keys = {entry["key"] for entry in log if entry["kind"] == "once"}
        runs = collections.Counter(item["key"] for item in self.calls if item["key"])
        for key, count in sorted(runs.items()):
            if count > 1:
                self.report("doubled", key, f"the call ran {count} times")
            if key not in keys:
                self.report("misreported", key, "a service ran a call that nobody made")
