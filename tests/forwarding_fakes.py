"""The request path without sockets, on scripted servers and a virtual clock."""

import json
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from pomeloglade.errors import BackendLostError, BackendUnreachableError
from pomeloglade.forwarding.allowed_regions import AllowedRegions
from pomeloglade.forwarding.backends import Backends, BackendServer
from pomeloglade.forwarding.crash_quarantine import CrashQuarantine
from pomeloglade.forwarding.deployment import (
    Account,
    CallKind,
    Deployment,
    EnginePool,
    Route,
    Service,
    ServiceWeight,
)
from pomeloglade.forwarding.engine_queue import EngineQueue
from pomeloglade.forwarding.fleet_contact import FleetContact
from pomeloglade.forwarding.fleet_news import FleetNews
from pomeloglade.forwarding.forwarder import Forwarder
from pomeloglade.forwarding.forwarding_metrics import ForwardingMetrics
from pomeloglade.forwarding.instance_availability import InstanceAvailability
from pomeloglade.forwarding.loads import Loads
from pomeloglade.forwarding.model_calls import ModelCalls
from pomeloglade.forwarding.peer_calls import PeerCalls
from pomeloglade.forwarding.plain_calls import PlainCalls
from pomeloglade.forwarding.plain_queues import PlainQueues
from pomeloglade.forwarding.prefill_pauses import PrefillPauses
from pomeloglade.forwarding.prefills import Prefills
from pomeloglade.forwarding.quarantine_store import QuarantineStore
from pomeloglade.forwarding.remote_queues import RemoteQueues
from pomeloglade.forwarding.resend_budget import ResendBudget, ResendLimit
from pomeloglade.forwarding.send_context import SendContext
from pomeloglade.forwarding.server_choice import ServerChoicePolicy, server_choice
from pomeloglade.forwarding.server_health import ServerHealth
from pomeloglade.forwarding.server_limits import ServerLimits
from pomeloglade.forwarding.server_pace import ServerPace
from pomeloglade.forwarding.server_probes import ServerProbes
from pomeloglade.forwarding.server_reach import ServerReach
from pomeloglade.forwarding.store_view import StoreLayout, StoreView
from pomeloglade.forwarding.stream_origins import StreamOrigins
from pomeloglade.forwarding.usage import SharedUsage
from pomeloglade.forwarding.version_history import VersionHistory
from pomeloglade.state.key_digest import digest_key
from pomeloglade.transport.http_exchange import RequestHead, ResponseHead
from pomeloglade_coordination.key_value import MemoryKeyValueStore
from pomeloglade_platform.calls import PlatformCallCodec

KEY = "club-key"
HOST = b"api.example"


class ListLog:
    """Records events instead of writing them."""

    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append((name, fields))

    def names(self):
        return [name for name, _ in self.events]


@dataclass
class SentRequest:
    """A request that reached a scripted server."""

    address: str
    head: RequestHead
    body: bytes
    exchange: object
    connection: object
    aborted: bool = False

    def header(self, name):
        values_by_name = {k.lower(): v for k, v in self.head.headers}
        return values_by_name.get(name.lower().encode())

    @property
    def prefill(self):
        return self.header("X-Pomeloglade-Stage") == b"prefill"

    def begin_answer(self, status=200, **headers):
        named = {
            b"x-pomeloglade-attempt-id": self.header("X-Pomeloglade-Attempt-Id"),
            b"x-pomeloglade-server-seal": b"seal",
        }
        for name, value in headers.items():
            key = name.replace("_", "-").encode()
            named.pop(key, None)
            if value is not None:
                named[key] = value
        self.exchange.receive_head(ResponseHead(status, tuple(named.items()), named))

    def answer(self, status=200, body=b"ok", **headers):
        self.begin_answer(status, **headers)
        if body:
            self.exchange.receive_body(body)
        self.exchange.receive_end(self.connection)

    def reject(self, status=503, **headers):
        self.answer(
            status,
            b"",
            x_pomeloglade_not_executed=b"1",
            x_pomeloglade_server_seal=None,
            **headers,
        )

    def answer_prefill(self, handle="h1", **headers):
        body = json.dumps({"kvHandle": handle, "tokens": 10, "version": 1}).encode()
        self.answer(200, body, **headers)

    def event(self, number, data="x"):
        self.exchange.receive_body(f"id: {number}\ndata: {data}\n\n".encode())

    def end(self):
        self.exchange.receive_end(self.connection)

    def reset(self):
        self.exchange.receive_error(BackendLostError("reset", step="answer"))


class FakeConnection:
    closed = False
    reused = False

    def __init__(self, network, address):
        self._network = network
        self.address = address
        self.request = None

    def send_exchange(self, exchange):
        self.request = SentRequest(
            self.address, exchange.request, exchange.body, exchange, self
        )
        self._network.requests.append(self.request)
        self._network.arrived(self.request)

    def abort(self):
        if self.request is not None:
            self.request.aborted = True

    def set_reading_paused(self, paused):
        pass


class FakeNetwork:
    """A fake connection pool; ``on_request`` scripts the servers."""

    def __init__(self):
        self.requests = []
        self.opened = []
        self.down = set()
        self.slow = {}
        self.idle_bounds = []
        self.on_request = lambda request: None

    def acquire_connection(self, address, *, max_idle_seconds, timeout=1.0):
        self.idle_bounds.append(max_idle_seconds)
        if address in self.down:
            return fail(BackendUnreachableError("refused", step="connect"))
        if address in self.slow:
            self.slow[address] = Deferred()
            return self.slow[address]
        self.opened.append(FakeConnection(self, address))
        return succeed(self.opened[-1])

    def connect(self, address):
        self.slow[address].callback(FakeConnection(self, address))

    def release(self, connection):
        pass

    def close_idle_to(self, address):
        pass

    def arrived(self, request):
        self.on_request(request)

    def requests_to(self, address):
        return [each for each in self.requests if each.address == address]


@dataclass
class FakeResponder:
    """Records one answer."""

    head_sent: bool = False
    done: bool = False
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    was_aborted: bool = False

    def answer(self, status, headers, body):
        self.write_head(status, headers)
        self.write(body)
        self.end()

    def write_head(self, status, headers):
        assert not self.head_sent, "answered twice"
        self.head_sent = True
        self.status = status
        self.headers = {k.lower(): v for k, v in headers}

    def write(self, data):
        assert not self.done
        self.body += data

    def end(self):
        assert not self.done
        self.done = True

    def abort_response(self):
        self.done = True
        self.was_aborted = True

    def wait_writable(self):
        return succeed(None)

    @property
    def reason(self):
        return json.loads(self.body)["reason"]


def server(
    name, service="api", stage="", slots=2, zone="zone-a", draining=False, started_ms=0
):
    number = sum(name.encode()) % 250
    address = f"10.0.0.{number}:{8000 + len(name)}"
    return BackendServer(
        name, service, address, zone, slots, draining, stage, started_ms
    )


def route(name, prefix, kind, service, **options):
    options.setdefault("timeout", timedelta(seconds=2))
    options.setdefault("objective", timedelta(seconds=0.4))
    return Route(
        name, "api.example", prefix, kind, (ServiceWeight(service, 1),), **options
    )


def deployment(version=1, *, key=KEY, rate=0.0, burst=0.0, slots=4, **routes):
    llm = {"timeout": timedelta(seconds=14), "objective": timedelta(seconds=0.9)}
    routes_by_name = {
        "lookups": route("lookups", "/lookups/", CallKind.SAFE, "api", max_servers=2),
        "bookings": route(
            "bookings", "/bookings/", CallKind.UNSAFE, "api", max_servers=2
        ),
        "public": route("public", "/public/", CallKind.SAFE, "api", public=True),
        "digests": route(
            "digests", "/digests/", CallKind.STREAMING, "llm", max_servers=2, **llm
        ),
        "reports": route(
            "reports",
            "/reports/",
            CallKind.STREAMING,
            "llm",
            resumable=True,
            max_servers=2,
            **llm,
        ),
    }
    routes_by_name.update(routes)
    account = Account(
        "club",
        frozenset({digest_key(key)}),
        rate=rate,
        burst=burst,
        counts_tokens=True,
        plain_cost=200,
    )
    services = (
        Service("api", 96),
        Service("llm", 150, EnginePool(slots, 50_000, handle_seconds=0.5)),
    )
    return Deployment(
        version,
        tuple(each for each in routes_by_name.values() if each is not None),
        services,
        (account,),
    )


def engine_queue(clock, backends, loads, health, remote_queues, limits=None, pace=None):
    """Return an instance's queue of the service llm; the instance is in zone-a."""
    return EngineQueue(
        "llm",
        clock=clock,
        backends=backends,
        loads=loads,
        health=health,
        limits=limits or ServerLimits(clock, ListLog(), Random(1)),
        availability_zone="zone-a",
        server_choice=server_choice(ServerChoicePolicy.LEAST_LOADED, Random(1)),
        remote_queues=remote_queues,
        on_change=lambda: None,
        pace=pace,
        random=Random(1),
    )


class Harness:
    """One instance's request path on a virtual clock, with scripted servers."""

    def __init__(self, *servers, configuration=None, slack=100.0, regions=None):
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.log = ListLog()
        self.network = FakeNetwork()
        self.backends = Backends(self.clock, lambda _: None)
        self.backends.replace_all(servers, lenient=False)
        self.loads = Loads(self.clock)
        self.health = ServerHealth(self.clock)
        self.usage = SharedUsage(self.clock)
        self.budget = ResendBudget(self.clock, ResendLimit(0.2, slack, 10.0))
        self.store_view = StoreView(
            layout=StoreLayout(
                "op/config", "servers/", "i/", "orders", None, None, "op/evacuate/"
            ),
            backends=self.backends,
            log=self.log,
            revoke_seconds=5.0,
            transit_seconds=0.12,
            apply_seconds=2.0,
        )
        self.age = 0.0
        self.store_view.age = lambda: self.age
        self.store_view.deployment = configuration or deployment()
        self.limits = ServerLimits(self.clock, self.log, Random(1))
        self.pace = ServerPace(self.clock, server_by_id=self.backends.get)
        self.queue = engine_queue(
            self.clock,
            self.backends,
            self.loads,
            self.health,
            RemoteQueues(self.clock),
            self.limits,
            self.pace,
        )
        self.queue.pool = self.store_view.deployment.services_by_name["llm"].engines
        self.quarantine = CrashQuarantine(self.clock, self.log)
        self.reach = ServerReach(self.clock, self.backends, self.log)
        self.store = MemoryKeyValueStore(self.clock)
        self.quarantine_store = QuarantineStore(
            clock=self.clock,
            store=self.store,
            instance="entry-0",
            quarantine=self.quarantine,
            backends=self.backends,
            log=self.log,
            instances=lambda: (),
            store_age=lambda: self.age,
            wall_time=self.clock.seconds,
        )
        context = SendContext(
            clock=self.clock,
            codec=PlatformCallCodec(),
            pool=self.network,
            backends=self.backends,
            loads=self.loads,
            health=self.health,
            budget=self.budget,
            quarantine=self.quarantine,
            limits=self.limits,
            reach=self.reach,
            log=self.log,
            on_load_changed=lambda: None,
            pace=self.pace,
            trials=self.quarantine_store.trials,
            regions=regions or AllowedRegions(),
        )
        context.ends.on_loss = self.quarantine_store.record_loss
        self.body_memory = context.body_memory
        self.probes = ServerProbes(context, self.store_view)
        self.availability = InstanceAvailability(self.clock, Random(1), "entry-0")
        self.peer_calls = PeerCalls(context, self.availability, Random(1))
        self.versions = VersionHistory(
            clock=self.clock,
            store=self.store,
            instance="entry-0",
            backends=self.backends,
            log=self.log,
            services=lambda: ["llm"],
            instances=lambda: (),
            store_age=lambda: self.age,
            wall_time=self.clock.seconds,
        )
        self.origins = StreamOrigins(self.clock, self.versions.recent)
        self.coverage = (1, 1)
        self.contact = FleetContact(self.clock, lambda: self.coverage)
        self.news = FleetNews(self.clock)
        pauses = PrefillPauses(self.clock, self.loads, self.news)
        self.prefills = Prefills(context, self.log, pauses)
        self.queue.prefill_available = lambda: self.prefills.available("llm", 0.9)
        self.queue.prefill_available_in = lambda zones: self.prefills.available(
            "llm", 0.9, zones
        )
        self.queue.local_prefill_rate = self.prefills.local_prefill_rate
        self.queue.prefill_too_long = lambda tokens: pauses.too_long("llm", tokens)
        self.queue.recorded = self.versions.recorded
        self.plain_queues = PlainQueues(
            clock=self.clock,
            random=Random(1),
            backends=self.backends,
            loads=self.loads,
            health=self.health,
            limits=self.limits,
            remote_queues=RemoteQueues(self.clock),
            news=self.news,
            instance="entry-0",
            on_change=lambda: None,
        )
        self.forwarder = Forwarder(
            clock=self.clock,
            random=Random(1),
            codec=context.codec,
            store_view=self.store_view,
            usage=self.usage,
            budget=self.budget,
            plain_calls=PlainCalls(
                context,
                Random(1),
                "zone-a",
                server_choice(ServerChoicePolicy.LEAST_LOADED, Random(1)),
                self.plain_queues,
            ),
            model_calls=ModelCalls(
                context,
                self.prefills,
                lambda _: self.queue,
                self.origins,
                self.versions,
                self.contact,
            ),
            peer_calls=self.peer_calls,
            log=self.log,
            metrics=ForwardingMetrics(),
            regions=context.regions,
        )
        self.calls = 0

    def call(
        self,
        target,
        *,
        key=KEY,
        limit_ms=14_000,
        headers=(),
        method=b"POST",
        responder=None,
    ):
        """Start a call and return its responder and its task."""
        self.calls += 1
        given = [
            (b"Host", HOST),
            (b"X-Pomeloglade-Attempt-Id", b"%016x" % self.calls),
            (b"X-Pomeloglade-Deadline-Ms", b"%d" % limit_ms),
            *headers,
        ]
        if key is not None:
            given.append((b"Authorization", b"Bearer " + key.encode()))
        responder = responder or FakeResponder()
        head = RequestHead(method, target.encode(), tuple(given))
        task = self.forwarder.handle(head, b"body", responder)
        return responder, task

    def model_call(
        self,
        target="/digests/1",
        *,
        prompt=5000,
        output=5000,
        parts=b"aa:200,bb:4800",
        **options,
    ):
        """Start a model call and return its responder and its task."""
        headers = (
            (b"X-Pomeloglade-Model", b"m"),
            (b"X-Pomeloglade-Token-Counts", b"%d,%d" % (prompt, output)),
            (b"X-Pomeloglade-Prompt-Prefix", parts),
        )
        return self.call(target, headers=headers, **options)

    def advance(self, seconds):
        """Advance the clock in small steps, so that timers fire in order."""
        steps = max(1, round(seconds / 0.01))
        for _ in range(steps):
            self.clock.advance(seconds / steps)
