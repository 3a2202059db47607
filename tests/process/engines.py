"""Client for chains of engine stand-ins, as a daemon would use them."""

import http.client
import json

from processes import EXCHANGE_BOUND_S, exchange_json


def route_of(*engines):
    """Route through (stand-in, first layer, last layer) triples."""
    return [
        {
            "engine": process.name,
            "address": process.address,
            "first_layer": first,
            "last_layer": last,
        }
        for process, first, last in engines
    ]


def start_engine(group, name, model, layers, first, last, **options):
    return group.standin(
        name, "engine", engine=name, model=f"{model}={layers}",
        first_layer=first, last_layer=last, **options
    )


class Stream:
    """Open answer stream of a route's first engine."""

    def __init__(self, order, bound=EXCHANGE_BOUND_S):
        host, port = order["route"][0]["address"].rsplit(":", 1)
        self.connection = http.client.HTTPConnection(host, int(port), timeout=bound)
        self.connection.request("POST", "/v1/engine/streams", body=json.dumps(order))
        self.response = self.connection.getresponse()
        self.status = self.response.status

    def lines(self):
        for line in self.response:
            yield json.loads(line)

    def close(self):
        self.response.close()
        self.connection.close()


def order_of(request, model, prompt, route, max_tokens, attempt=1, tokens=()):
    return {
        "request": request, "attempt": attempt, "model": model, "prompt": prompt,
        "tokens": list(tokens), "max_tokens": max_tokens, "priority": 0,
        "deadline_ms": 60000, "route": route,
    }


def run_stream(order, bound=EXCHANGE_BOUND_S):
    """Status, token records and the closing line of a whole stream."""
    stream = Stream(order, bound)
    try:
        lines = list(stream.lines())
    finally:
        stream.close()
    if stream.status != 200:
        return stream.status, [], lines[0]
    return stream.status, lines[:-1], lines[-1]


def step(address, **fields):
    return exchange_json(address, "POST", "/v1/engine/step", fields)
