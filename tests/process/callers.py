"""Callers of the router. Each request gives one log entry (a dict) that says
what the caller was told; checker.py judges the entries."""

import http.client
import json
import threading
import time

DEADLINE_MS = 20000
# Longer than the deadline: without an answer by then, the answer is lost.
CALLER_BOUND_S = 30
# A caller that is refused comes back this often, each time after Retry-After.
MAX_TRIES = 10


def outcome_of(status, headers):
    """What the response says of the request; `broken` if it says nothing."""
    return headers.get("quetzalpost-outcome", "broken" if status != 200 else "complete")


class Caller:
    """Sends requests of one workspace and keeps their log."""

    def __init__(self, token):
        self.token = token
        self.log = []
        self.lock = threading.Lock()

    def headers(self, request, key=None):
        headers = {
            "Authorization": "Bearer " + self.token,
            "X-Request-Id": request,
            "Quetzalpost-Deadline-Ms": str(DEADLINE_MS),
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        return headers

    def send(self, entry, target, body, headers, read):
        """One exchange; `read` fills in the entry from the response."""
        host, port = entry["daemon"].rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=CALLER_BOUND_S)
        entry.update(status=0, outcome="broken", retry_after=None, started=time.time())
        begin = time.monotonic()
        try:
            connection.request("POST", target, body=body, headers=headers)
            response = connection.getresponse()
            names = {name.lower(): value for name, value in response.getheaders()}
            entry["status"] = response.status
            entry["retry_after"] = names.get("retry-after")
            read(response, names)
        except ConnectionRefusedError as failure:
            # Nothing was sent, so the request provably did not run.
            entry["outcome"] = "unreached"
            entry["failure"] = repr(failure)
        except (OSError, ValueError, http.client.HTTPException) as failure:
            entry["outcome"] = "broken"
            entry["failure"] = repr(failure)
        finally:
            connection.close()
        entry["seconds"] = time.monotonic() - begin
        with self.lock:
            self.log.append(entry)
        return entry

    def ask(self, daemon, request, class_name, question, max_tokens, on_token=None):
        """Streams the answer to a question."""
        entry = {
            "kind": "chat", "request": request, "daemon": daemon, "class": class_name,
            "prompt": f"user: {question}\n", "max_tokens": max_tokens,
            "content": "", "token_times": [],
        }
        body = json.dumps({
            "model": class_name, "max_tokens": max_tokens, "stream": True,
            "messages": [{"role": "user", "content": question}],
        })

        def read(response, names):
            if response.status != 200:
                entry["error"] = response.read().decode(errors="replace")
                entry["outcome"] = outcome_of(response.status, names)
                return
            read_events(response, entry, on_token)

        return self.send(entry, "/v1/chat/completions", body, self.headers(request), read)

    def call(self, daemon, request, service, operation, document, key=None):
        """Calls a plain service; with a key, a call that may run only once."""
        body = json.dumps(document)
        entry = {
            "kind": "once" if key else "lookup", "request": request, "daemon": daemon,
            "service": service, "operation": operation, "body": body, "key": key or "",
            "result": None,
        }

        def read(response, names):
            content = response.read()
            entry["outcome"] = outcome_of(response.status, names)
            if response.status == 200:
                entry["answer"] = json.loads(content)
                entry["result"] = entry["answer"].get("result")
            else:
                entry["error"] = content.decode(errors="replace")

        target = f"/v1/services/{service}/{operation}"
        return self.send(entry, target, body, self.headers(request, key), read)


def until_run(send, request):
    """Sends a request again while it is refused as not run, after the time that
    the refusal gives. Each try has an id of its own, so that the checker can
    tell them apart; all stand in the log. Returns the entry of the last."""
    for number in range(1, MAX_TRIES + 1):
        entry = send(request if number == 1 else f"{request}~{number}")
        if entry["outcome"] != "not_run" or not entry["retry_after"]:
            break
        time.sleep(float(entry["retry_after"]))
    entry["tries"] = number
    return entry


def wait_until_serving(caller, deployment, bound_s):
    """Asks each daemon for one answer of each kind until it is given. A daemon
    that has just started refuses requests until it knows the backend servers
    and has a share of each class. Returns the seconds that it took."""
    begin = time.monotonic()
    profile = deployment.profile

    def probes(daemon, attempt):
        name = f"probe-{daemon.name}-{attempt}"
        yield lambda: caller.ask(daemon.address, name + "-chat", profile.question, name, 2)
        yield lambda: caller.call(
            daemon.address, name + "-lookup", deployment.service, profile.lookup, {"probe": name}
        )
        yield lambda: caller.call(
            daemon.address, name + "-once", deployment.service, profile.once, {"probe": name}, name
        )

    for daemon in deployment.daemons:
        attempt = 0
        waiting = [0, 1, 2]
        while waiting:
            if time.monotonic() - begin > bound_s:
                raise RuntimeError(f"{daemon.name} refuses requests: {caller.log[-1]}")
            attempt += 1
            jobs = list(probes(daemon, attempt))
            waiting = [n for n in waiting if jobs[n]()["outcome"] != "complete"]
            if waiting:
                time.sleep(0.2)
    return time.monotonic() - begin


def read_events(response, entry, on_token):
    """Reads server-sent events up to the end of the stream."""
    event = ""
    for raw in response:
        line = raw.decode().rstrip("\r\n")
        if line.startswith("event: "):
            event = line[len("event: "):]
        if not line.startswith("data: "):
            continue
        data = line[len("data: "):]
        if event == "error":
            entry["error"] = data
            entry["outcome"] = json.loads(data).get("outcome", "broken")
            return
        if data == "[DONE]":
            entry["outcome"] = "complete"
            continue
        delta = json.loads(data)["choices"][0]["delta"].get("content")
        if delta:
            entry["content"] += delta
            entry["token_times"].append(time.time())
            if on_token:
                on_token(entry)


def run_all(jobs):
    """Runs callables at once, one thread each, and waits for all."""
    threads = [threading.Thread(target=job, daemon=True) for job in jobs]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
