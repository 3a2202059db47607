"""A small copy of a deployment of examples/ on loopback: all stand-ins, three
daemons and their settings."""

import dataclasses
import hashlib
import json
import os
import time

from engines import start_engine
from ports import free_port
from processes import exchange, exchange_json

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
OPERATOR_TOKEN = "example-operator-token"
READY_BOUND_S = 30
# Settings of the first VMs of examples/, one in each availability zone.
DAEMONS = 3
STAGES = 3
REPLICAS = 2  # Of each stage.


@dataclasses.dataclass(frozen=True)
class Profile:
    """What the harness uses of a deployment."""

    name: str
    question: str  # Request class of the model.
    lookup: str  # Idempotent operation of the service.
    once: str  # Operation that may run only once.


PROFILES = {
    "member-desk": Profile("member-desk", "member-question", "price", "hold"),
    "ladle-rota": Profile("ladle-rota", "cover-notice", "rota", "confirm"),
}


class Daemon:
    def __init__(self, process, settings):
        self.process = process
        self.name = settings["node"]
        self.address = settings["caller_address"]
        self.operators = settings["operator_address"]
        self.peer = settings["peer_address"]

    def is_ready(self):
        try:
            return exchange(self.operators, "GET", "/readyz", bound=1)[0] == 200
        except OSError:
            return False

    def operator(self, method, target, body=None):
        headers = {"Authorization": "Bearer " + OPERATOR_TOKEN}
        return exchange_json(self.operators, method, target, body, headers)


class Deployment:
    """Starts everything; `group` ends it. Engines hold a third of the layers
    each, twice over, so that one of them may fail."""

    def __init__(self, group, profile, engine_options=None):
        self.group = group
        self.profile = profile
        with open(os.path.join(ROOT, "examples", profile.name, "targets.json")) as file:
            self.configuration = json.load(file)
        self.model = self.configuration["models"][0]
        self.service = next(c["service"] for c in self.configuration["classes"] if "service" in c)
        self.token = "example-token-" + self.configuration["workspaces"][0]["name"]
        self.template = self.read_settings(1)
        self.zones = [self.read_settings(n + 1)["availability_zone"] for n in range(DAEMONS)]
        self.table = group.standin("table", "table")
        self.objects = group.standin("object-store", "object-store")
        self.vm_list = group.standin("vm-list", "vm-list")
        self.engines = self.start_engines(engine_options or {})
        self.services = [
            group.standin(f"service-{n}", "service", service=self.service) for n in (1, 2)
        ]
        self.write_configuration()
        self.daemons = []

    def read_settings(self, number):
        path = os.path.join(ROOT, "examples", self.profile.name, f"entry-{number}.json")
        with open(path) as file:
            return json.load(file)

    def start_engines(self, options):
        engines = []
        layers, kinds = self.model["layers"], self.configuration["kinds"]
        for stage in range(STAGES):
            first, end = layers * stage // STAGES, layers * (stage + 1) // STAGES
            for replica in range(REPLICAS):
                number = stage * REPLICAS + replica
                engines.append(start_engine(
                    self.group, f"engine-{number + 1}", self.model["name"], layers,
                    first, end - 1, kind=kinds[number % len(kinds)]["name"],
                    zone=self.zones[replica % len(self.zones)], **options,
                ))
        return engines

    def write_configuration(self):
        value = dict(self.configuration, version=1, change_id="0-initial")
        put = {"put": {"key": "configuration/current", "value": value}, "if": {"absent": True}}
        status, answer = exchange_json(
            self.table.address, "POST", "/v1/table/transact", {"mode": "all", "operations": [put]}
        )
        if status != 200 or not answer["results"][0]["applied"]:
            raise RuntimeError(f"the configuration was not written: {answer}")

    def publish_vms(self):
        """Feeds the VM list with everything that has been started."""
        region = self.template["region"]
        vms = [("entry", d.name, d.peer, zone) for d, zone in zip(self.daemons, self.zones)]
        vms += [("engine", e.name, e.address, self.zones[0]) for e in self.engines]
        vms += [("service", s.name, s.address, self.zones[0]) for s in self.services]
        document = [
            {"vm": name, "role": role, "address": address, "region": region,
             "zone": zone, "state": "live"}
            for role, name, address, zone in vms
        ]
        exchange(self.vm_list.address, "PUT", "/v1/vms", document)

    def start_daemons(self):
        peers = [f"127.0.0.1:{free_port()}" for _ in range(DAEMONS)]
        for number, (peer, zone) in enumerate(zip(peers, self.zones), start=1):
            settings = dict(
                self.read_settings(number),
                availability_zone=zone,
                caller_address=f"127.0.0.1:{free_port()}",
                operator_address=f"127.0.0.1:{free_port()}",
                peer_address=peer,
                table_address=self.table.address,
                object_store_address=self.objects.address,
                vm_list_address=self.vm_list.address,
                seeds=peers,
                operator_token_sha256=hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest(),
                drain_grace_ms=200,
            )
            path = os.path.join(self.group.directory, settings["node"] + ".json")
            with open(path, "w") as file:
                json.dump(settings, file)
            command = [self.group.program("quetzalpostd"), "--settings", path]
            process = self.group.start(settings["node"], command)
            self.daemons.append(Daemon(process, settings))
        self.publish_vms()
        self.wait_until_ready()

    def wait_until_ready(self):
        deadline = time.monotonic() + READY_BOUND_S
        waiting = list(self.daemons)
        while waiting:
            waiting = [d for d in waiting if not d.is_ready()]
            ended = [d.name for d in waiting if not d.process.running()]
            if ended or time.monotonic() > deadline:
                names = ", ".join(ended or [d.name for d in waiting])
                raise RuntimeError(f"not ready: {names}; logs in {self.group.directory}")
            time.sleep(0.1)

    def configuration_in_force(self, daemon):
        """Version and content as one daemon shows them to operators."""
        status, document = daemon.operator("GET", "/v1/configuration")
        if status != 200:
            raise RuntimeError(f"{daemon.name} shows no configuration: {document}")
        return document["version"], document

    # Facts that the checker needs.

    def models(self):
        return {m["name"]: m["layers"] for m in self.configuration["models"]}

    def classes(self):
        return {c["name"]: c["model"] for c in self.configuration["classes"] if "model" in c}
