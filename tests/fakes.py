"""Fake backend servers and other fakes for tests of one instance."""

from dataclasses import dataclass, field, replace

from twisted.internet.defer import Deferred, fail, succeed

from pomeloglade.coordination.engine import Engines, EngineState, Services
from pomeloglade.coordination.entry_instance import EntryInstance
from pomeloglade.errors import BackendOutOfMemoryError
from pomeloglade.protocol.deployment import (
    CONFIGURATION_KEY,
    PublishedDeployment,
    decode,
    encode,
    without_withdrawn_keys,
)
from pomeloglade.state.call import EngineLoad, PlainAnswer, Prefilled, Token, Usage
from pomeloglade.state.deployment import (
    BackendServer,
    ClientAccount,
    Deployment,
    FleetInstance,
    Model,
    Route,
)
from pomeloglade.state.keys import digest_key
from pomeloglade_coordination.members import Member
from pomeloglade_coordination.orders import OrderRefusedError
from pomeloglade_coordination.recovery import HeldRequest, RequestId

KEY = "club-key"
ZONE = "zone-a"


def deployment(*, slots=4, **account):
    limits = {"rate": 1000, "burst": 10_000} | account
    servers = [
        BackendServer("p1", ZONE, "10.0.0.1:1", "llm", "prefill", slots=slots),
        BackendServer("d1", ZONE, "10.0.0.2:1", "llm", "decode", slots=slots),
        BackendServer("d2", ZONE, "10.0.0.3:1", "llm", "decode", slots=slots),
        BackendServer("s1", ZONE, "10.0.0.4:1", "api", "plain", slots=slots),
    ]
    routes = [
        Route("models", "/v1", "model", "llm"),
        Route("lookups", "/roster", "plain", "api"),
        Route("bookings", "/bookings", "plain", "api", idempotent=False),
        Route("public", "/public", "plain", "api", open=True),
    ]
    club = ClientAccount("club", key_digests={"main": digest_key(KEY)}, **limits)
    return Deployment(
        availability_zones=(ZONE,),
        instances_by_name={"i1": FleetInstance("i1", ZONE)},
        accounts_by_name={"club": club},
        routes_by_name={route.name: route for route in routes},
        backend_servers_by_name={server.name: server for server in servers},
        models_by_name={"m": Model("m", "llm")},
    )


def with_leaving_servers(base, *names):
    """Return ``base`` with the named backend servers in state ``leaving``."""
    servers = base.backend_servers_by_name
    changed = {name: replace(servers[name], state="leaving") for name in names}
    return replace(base, backend_servers_by_name=servers | changed)


def publish(store, new, publish_id="p"):
    return store.put(CONFIGURATION_KEY, encode(PublishedDeployment(publish_id, new)))


@dataclass
class FakeEngines(Engines):
    """Records calls and the memory held; ``errors_by_step`` fails single calls."""

    held_by_server: dict = field(default_factory=dict)
    errors_by_step: dict = field(default_factory=dict)
    calls: list = field(default_factory=list)
    streams: dict = field(default_factory=dict)
    prefills: dict = field(default_factory=dict)
    hold_prefill: bool = False
    full_servers: set = field(default_factory=set)
    states: dict = field(default_factory=dict)
    orders: list = field(default_factory=list)
    fencing_by_server: dict = field(default_factory=dict)

    def _call(self, step, server, request_id):
        self.calls.append((step, server.name, request_id))
        return self.errors_by_step.pop((step, server.name), None)

    def _hold(self, server, request_id):
        self.held_by_server.setdefault(server.name, set()).add(request_id)

    def reserve(self, server, request_id, tokens):
        error = self._call("reserve", server, request_id)
        if server.name in self.full_servers:
            error = BackendOutOfMemoryError("full", step="reserve", peer=server.name)
        if error:
            return fail(error)
        self._hold(server, request_id)
        return succeed(None)

    def prefill(self, server, request_id, call):
        error = self._call("prefill", server, request_id)
        self._hold(server, request_id)
        if error:
            return fail(error)
        if self.hold_prefill:
            self.prefills[request_id] = Deferred()
            return self.prefills[request_id]
        return succeed(Prefilled("h1", call.prompt_tokens))

    def transfer(self, source, target, request_id, prefilled):
        error = self._call("transfer", target, request_id)
        if error:
            return fail(error)
        self.held_by_server[source.name].discard(request_id)
        return succeed(None)

    def decode(self, server, request_id, call, on_token):
        error = self._call("decode", server, request_id)
        if error:
            return fail(error)
        done = Deferred()
        self.streams[request_id] = (server.name, on_token, done)
        return done

    def send_tokens(self, request_id, count):
        _, on_token, _ = self.streams[request_id]
        for index in range(count):
            on_token(Token(index, f"t{index} "))

    def finish(self, request_id, usage):
        server, _, done = self.streams.pop(request_id)
        self.held_by_server[server].discard(request_id)
        done.callback(usage)

    def cancel(self, server, request_id):
        error = self._call("cancel", server, request_id)
        if error:
            return fail(error)
        self.held_by_server.get(server.name, set()).discard(request_id)
        return succeed(None)

    def list_held(self, server):
        ids = [RequestId.parse(r) for r in self.held_by_server.get(server.name, ())]
        return succeed(
            tuple(HeldRequest(str(r), r.instance, r.incarnation) for r in ids)
        )

    def read_load(self, server):
        error = self._call("load", server, "")
        return fail(error) if error else succeed(EngineLoad(0, 0, server.slots))

    def send_order(self, server, order):
        error = self._call("order", server, "")
        if error:
            return fail(error)
        highest = self.fencing_by_server.get(server.name, 0)
        if server.checks_fencing and order.fencing_token < highest:
            return fail(OrderRefusedError("old", step="order", peer=server.name))
        self.fencing_by_server[server.name] = max(highest, order.fencing_token)
        self.states[server.name, order.state.kind] = EngineState(order.state.value)
        self.orders.append((server.name, order))
        return succeed(None)

    def read_state(self, server, kind):
        error = self._call("read_state", server, "")
        state = self.states.get((server.name, kind), EngineState(""))
        return fail(error) if error else succeed(state)

    @property
    def held_request_ids(self):
        return set().union(*self.held_by_server.values())


@dataclass
class FakeServices(Services):
    """Records calls; the test answers or fails them in order."""

    waiting: list = field(default_factory=list)
    new_connections: list = field(default_factory=list)

    def call(self, server, call, *, new_connection):
        done = Deferred()
        self.waiting.append(done)
        self.new_connections.append(new_connection)
        return done

    def answer(self, body=b"booked"):
        self.waiting.pop(0).callback(PlainAnswer(201, (), body))

    def fail(self, error):
        self.waiting.pop(0).errback(error)


@dataclass
class Sink:
    """Collects one answer."""

    texts: list = field(default_factory=list)
    endings: list = field(default_factory=list)

    def send_token(self, token):
        self.texts.append(token.text)

    def finish(self, usage):
        self.endings.append(usage)

    def refuse(self, refusal):
        self.endings.append(refusal)


class DiscardingSender:
    """Discards messages, for an instance without peers."""

    def send(self, instance, message):
        """Discard the message."""


def start_instance(clock, store, engines=None, services=None, incarnation=1):
    """Return a started instance without peers."""
    instance = EntryInstance(
        own=Member("i1", ZONE, incarnation),
        clock=clock,
        store=store,
        sender=DiscardingSender(),
        engines=engines or FakeEngines(),
        services=services or FakeServices(),
        decode=lambda value: without_withdrawn_keys(decode(value)),
    )
    instance.start()
    return instance


def usage(output=2):
    return Usage(5, output)
