"""A fleet of two instances and four backend servers, all real processes."""

import json
import time
from datetime import timedelta

from scripts.fleet import HOST, Fleet, call

from pomeloglade.protocol.deployment import (
    CONFIGURATION_KEY,
    PublishedDeployment,
    encode,
)
from pomeloglade.state.deployment import (
    BackendServer,
    ClientAccount,
    Deployment,
    FleetInstance,
    Model,
    Route,
)
from pomeloglade.state.keys import digest_key

KEY = "club-key"
ZONE = "zone-a"
GRANTED_LOCALLY = 'pomeloglade_part_total{part="shares",event="granted_locally"'
MODEL_TIMEOUT = timedelta(seconds=40)
LONG_PROMPT = "\n".join(f"Paragraph {n} of the long report" for n in range(300))
MAX_POLLS = 150
"""Polls before a condition counts as never met; far beyond any real wait."""


class SmallFleet(Fleet):
    """Two instances, one prefill and two decode engines, one plain service."""

    def start_all(self):
        self.start_platform()
        self.engines = {
            name: self.start(
                name, "pomeloglade_standins", "engine", "--decode-us=10000"
            )
            for name in ("p1", "d1", "d2")
        }
        self.service = self.start("s1", "pomeloglade_standins", "plain")
        launched = {n: self.launch_instance(n, ZONE) for n in ("i1", "i2")}
        self.ports = {
            name: process.wait_for("stand-in:listening")["port"]
            for name, process in {**self.engines, "s1": self.service}.items()
        }
        for name, process in launched.items():
            self.wait_and_register(name, ZONE, process)
        self.publish(1)
        for instance in self.instances_by_name.values():
            instance.process.wait_for("pomeloglade:in_force")
        self.wait_until(self.shares_are_granted)
        return self

    def publish(self, number, keys=True):
        self.put(
            CONFIGURATION_KEY,
            encode(PublishedDeployment(f"p{number}", self.deployment(keys))),
        )

    def deployment(self, keys):
        digests = {"main": digest_key(KEY)} if keys else {}
        servers = [
            self.server("p1", "llm", "prefill"),
            self.server("d1", "llm", "decode"),
            self.server("d2", "llm", "decode"),
            self.server("s1", "api", "plain"),
        ]
        routes = [
            Route("models", "/v1", "model", "llm", patient=True, timeout=MODEL_TIMEOUT),
            Route("lookups", "/roster", "plain", "api"),
            Route("bookings", "/bookings", "plain", "api", idempotent=False),
            Route("public", "/public", "plain", "api", open=True),
        ]
        return Deployment(
            availability_zones=(ZONE,),
            instances_by_name={n: FleetInstance(n, ZONE) for n in ("i1", "i2")},
            accounts_by_name={
                "club": ClientAccount("club", 500_000, 1_000_000, key_digests=digests)
            },
            routes_by_name={route.name: route for route in routes},
            backend_servers_by_name={server.name: server for server in servers},
            models_by_name={"m": Model("m", "llm")},
        )

    def server(self, name, pool, role):
        return BackendServer(name, ZONE, f"{HOST}:{self.ports[name]}", pool, role)

    def shares_are_granted(self):
        """Return whether each instance serves calls from its own share of the limit."""
        answers = [self.look_up(name) for name in self.instances_by_name]
        granted = [
            self.metric(name, GRANTED_LOCALLY) for name in self.instances_by_name
        ]
        return all(answer.status == 200 for answer in answers) and all(granted)

    def port(self, instance):
        return self.instances_by_name[instance].port

    def look_up(self, instance):
        return call(self.port(instance), "/roster/x", key=KEY)

    def book(self, instance, idempotency_key):
        headers = {"Idempotency-Key": idempotency_key}
        return call(
            self.port(instance), "/bookings/x", key=KEY, body=b"b", headers=headers
        )

    def summarise(self, instance, tokens=1500):
        body = {
            "model": "m",
            "prompt": LONG_PROMPT,
            "max_tokens": tokens,
            "stream": True,
        }
        answer = call(
            self.port(instance),
            "/v1/completions",
            key=KEY,
            body=json.dumps(body).encode(),
        )
        lines = answer.body.decode().splitlines()
        return [line.removeprefix("data: ") for line in lines if line]

    def held_requests(self):
        return [
            request_id
            for name in self.engines
            for request_id in call(self.ports[name], "/v1/held").json["request_ids"]
        ]

    def metric(self, instance, name):
        text = call(self.port(instance), "/metrics").body.decode()
        lines = [line for line in text.splitlines() if line.startswith(name)]
        return sum(float(line.split()[-1]) for line in lines)

    def wait_until(self, condition):
        for _ in range(MAX_POLLS):
            if condition():
                return
            time.sleep(0.1)
        raise AssertionError(f"{condition} was never met")


def error_reason(events):
    return json.loads(events[-1])["error"]["reason"]
