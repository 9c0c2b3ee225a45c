"""Stage orders: one leaseholder, a pause between holders, no needless orders."""

import json
from random import Random

import pytest
from tests.forwarding_fakes import FakeNetwork, ListLog, deployment, server
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from pomeloglade.errors import BackendError
from pomeloglade.forwarding.backends import Backends
from pomeloglade.forwarding.crash_quarantine import CrashQuarantine
from pomeloglade.forwarding.loads import Loads
from pomeloglade.forwarding.resend_budget import ResendBudget, ResendLimit
from pomeloglade.forwarding.send_context import SendContext
from pomeloglade.forwarding.server_health import ServerHealth
from pomeloglade.forwarding.server_limits import ServerLimits
from pomeloglade.forwarding.server_reach import ServerReach
from pomeloglade.forwarding.stage_orders import PREFILL_SHARE, StageOrders
from pomeloglade.forwarding.store_view import StoreLayout, StoreView
from pomeloglade_coordination.key_value import MemoryKeyValueStore
from pomeloglade_platform.calls import PlatformCallCodec

PAUSE_SECONDS = 3.0


class Fleet:
    """Instances that compete for the stage-order lease in one store."""

    def __init__(self, *engines, instances=2, prefill_share=PREFILL_SHARE):
        self.clock = Clock()
        self.clock.advance(100.0)
        self.store = MemoryKeyValueStore(self.clock)
        self.backends = Backends(self.clock, lambda _: None)
        self.backends.replace_all(engines, lenient=False)
        self.loads = Loads(self.clock)
        self.log = ListLog()
        self.networks = []
        self.orders = []
        for number in range(instances):
            self.add(f"entry-{number}", prefill_share)

    def add(self, name, prefill_share=PREFILL_SHARE):
        layout = StoreLayout("op/config", "servers/", "i/", "orders", None, None)
        store_view = StoreView(
            layout=layout,
            backends=self.backends,
            log=self.log,
            revoke_seconds=None,
            transit_seconds=0.1,
            apply_seconds=2.0,
        )
        store_view.deployment = deployment()
        network = FakeNetwork()
        network.on_request = lambda request: self.answer(name, request)
        context = SendContext(
            clock=self.clock,
            codec=PlatformCallCodec(),
            pool=network,
            backends=self.backends,
            loads=self.loads,
            health=ServerHealth(self.clock),
            budget=ResendBudget(self.clock, ResendLimit(0.2, 10.0, 10.0)),
            quarantine=CrashQuarantine(self.clock, self.log),
            limits=ServerLimits(self.clock, self.log, Random(1)),
            reach=ServerReach(self.clock, self.backends, self.log),
            log=self.log,
            on_load_changed=lambda: None,
        )
        stage_orders = StageOrders(
            clock=self.clock,
            store=self.store,
            holder=name,
            key="orders",
            pause_seconds=PAUSE_SECONDS,
            prefill_share=prefill_share,
            context=context,
            store_view=store_view,
            random=Random(name),
            on_order=lambda _: None,
        )
        stage_orders.start()
        self.networks.append((stage_orders, store_view))
        return stage_orders

    def answer(self, name, request):
        if request.head.target == b"/v1/report":
            request.answer(200, json.dumps({"stage": "x", "seq": 2}).encode())
            return
        order = json.loads(request.body)
        self.orders.append((self.clock.seconds(), name, request.address, order))
        request.answer(202, b"")

    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            held = bool(self.store.list("orders").result)
            for _, store_view in self.networks:
                store_view.order_lease_held = held


@pytest.fixture
def engines():
    stages = ["prefill", "prefill", "decode", "decode"]
    return [
        server("e" * (number + 1), "llm", stage) for number, stage in enumerate(stages)
    ]


def test_one_instance_orders_one_engine_with_its_fencing_token(engines):
    fleet = Fleet(*engines)
    fleet.advance(15.0)
    ((_, _, address, order),) = fleet.orders
    assert address in {each.address for each in engines[:2]}
    assert (order["op"], order["stage"], order["expected"]) == ("stage", "decode", 2)
    assert order["fence"] == fleet.store.list("orders").result[0].revision


def test_new_lease_holder_pauses_before_its_first_order(engines):
    fleet = Fleet(*engines)
    held_since = None
    while not fleet.orders:
        fleet.advance(0.1)
        if held_since is None and fleet.store.list("orders").result:
            held_since = fleet.clock.seconds()
    assert fleet.orders[0][0] - held_since >= PAUSE_SECONDS


def test_next_lease_holder_orders_with_a_higher_fencing_token(engines):
    fleet = Fleet(*engines, instances=1)
    fleet.advance(15.0)
    first = fleet.orders[0]
    fleet.networks[0][0].stop()
    fleet.backends.put(server("extra1", "llm", "prefill"))
    fleet.add("entry-9")
    fleet.advance(20.0)
    later = [each for each in fleet.orders if each[1] == "entry-9"]
    assert later
    assert later[0][3]["fence"] > first[3]["fence"]


def test_several_engines_are_ordered_without_waiting_for_each_other():
    engines = [server("p" * (number + 1), "llm", "prefill") for number in range(6)] + [
        server("d" * (number + 1), "llm", "decode") for number in range(8)
    ]
    fleet = Fleet(*engines)
    fleet.advance(15.0)
    assert len(fleet.orders) == 3
    assert len({address for _, _, address, _ in fleet.orders}) == 3


def test_busy_decode_engine_is_changed_only_after_a_lasting_imbalance():
    engines = [server("d" * (number + 1), "llm", "decode") for number in range(4)]
    fleet = Fleet(*engines)
    for engine in engines:
        fleet.loads.begin(engine.id, 100)
    fleet.advance(7.0)
    assert fleet.orders == []
    fleet.advance(10.0)
    assert [order["stage"] for _, _, _, order in fleet.orders] == ["prefill"]


def test_idle_decode_engine_is_changed_at_once():
    engines = [server("d" * (number + 1), "llm", "decode") for number in range(4)]
    fleet = Fleet(*engines)
    fleet.advance(7.5)
    assert [order["stage"] for _, _, _, order in fleet.orders] == ["prefill"]


def test_prefill_engine_is_kept_while_others_are_cut_off_for_a_few_seconds():
    engines = [server("p", "llm", "prefill"), server("d", "llm", "decode")]
    cut_off = server("dd", "llm", "decode")
    fleet = Fleet(*engines, cut_off)
    fleet.loads.begin("d", 5000)
    fleet.advance(8.0)
    fleet.backends.remove("dd", lenient=False)
    fleet.advance(4.0)
    fleet.backends.put(cut_off)
    fleet.advance(8.0)
    assert fleet.orders == []


def test_prefill_engine_is_changed_after_a_lasting_imbalance():
    engines = [server("p", "llm", "prefill"), server("d", "llm", "decode")]
    fleet = Fleet(*engines)
    fleet.loads.begin("d", 5000)
    fleet.advance(20.0)
    assert [order["stage"] for _, _, _, order in fleet.orders] == ["decode"]


def test_all_engines_decode_if_the_prefill_share_is_zero(engines):
    fleet = Fleet(*engines[:2], prefill_share=0.0)
    fleet.advance(30.0)
    assert {order["stage"] for _, _, _, order in fleet.orders} == {"decode"}
    assert len({address for _, _, address, _ in fleet.orders}) == 2


def test_instances_do_not_ask_for_the_lease_while_it_is_held(engines):
    fleet = Fleet(*engines, instances=5)
    fleet.advance(10.0)
    calls = []
    get = fleet.store.get
    fleet.store.get = lambda key: calls.append(key) or get(key)
    fleet.advance(20.0)
    assert calls == []


# Guards against orders to engines of a zone that the operator has emptied, and against
# a report request on a connection that was opened before.
def test_engine_out_of_use_gets_no_order(engines):
    fleet = Fleet(*engines)
    fleet.backends.evacuations.put("zone-a", revision=1)
    fleet.advance(20.0)
    assert not fleet.orders
    orders, _ = fleet.networks[0]
    orders._may_order = lambda: True
    failed = []
    done = Deferred.fromCoroutine(orders._order(engines[0], "decode"))
    done.addErrback(failed.append)
    assert failed[0].check(BackendError)
    assert not fleet.orders
