"""A fleet of instances that exchange their reports over a virtual network.

Each instance of the fleet has its own relay, loads, usage and queue summaries; reports
are encoded and decoded, and take a millisecond.
"""

from random import Random

from tests.faulty_fleet import FaultyStore
from tests.forwarding_fakes import ListLog
from twisted.internet.task import Clock

from pomeloglade.forwarding.change_relay import ChangeRelay
from pomeloglade.forwarding.crash_quarantine import CrashQuarantine
from pomeloglade.forwarding.fleet_news import FleetNews, NewsTopic
from pomeloglade.forwarding.instance_availability import InstanceAvailability
from pomeloglade.forwarding.instance_groups import (
    MAX_DIRECT_INSTANCES,
    Peer,
)
from pomeloglade.forwarding.instance_reports import (
    Report,
    ReportExchange,
    waiting_from,
)
from pomeloglade.forwarding.loads import Loads
from pomeloglade.forwarding.remote_queues import RemoteQueues
from pomeloglade.forwarding.report_relay import ReportRelay
from pomeloglade.forwarding.resend_budget import ResendBudget, ResendLimit
from pomeloglade.forwarding.server_health import ServerHealth
from pomeloglade.forwarding.server_limits import ServerLimits
from pomeloglade.forwarding.store_follower import (
    StoreFollower,
)
from pomeloglade.forwarding.stream_origins import (
    StreamOrigins,
)
from pomeloglade.forwarding.usage import SharedUsage
from pomeloglade.forwarding.usage_history import share_usage_history
from pomeloglade_coordination.key_value import MemoryKeyValueStore

LIMIT = ResendLimit(ratio=0.2, slack=430.0, window=10.0)
ZONES = ("zone-a", "zone-b", "zone-c")
NEWS_TOPIC = NewsTopic("test", max_age=5.0, max_reported=20)
TRANSIT_SECONDS = 0.001
SETTLED_SECONDS = 2.0
KNOWN_WITHIN_SECONDS = 0.3
"""A change passes a contact twice, each time with the shortest interval of its reports,
and a lost datagram may delay it by the interval of busy reports."""


class View:
    """Keeps what a follower reads; the configuration is urgent, the rest is not."""

    def __init__(self):
        self.entries = {}

    def urgent(self, entry):
        return entry.key == "op/config"

    def relevant(self, entry):
        return self.entries.get(entry.key, b"") != entry.value

    def replace_all(self, entries, *, lenient, restored):
        self.entries = {each.key: each.value for each in entries}

    def apply_change(self, entry, *, lenient):
        self.entries[entry.key] = entry.value
        if not entry.value:
            del self.entries[entry.key]


class Instance:
    """One instance's relay and what it keeps up to date."""

    def __init__(self, fleet, number, run=1):
        self.name = f"entry-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.address = (f"10.0.{number // 250}.{number % 250}", 7500)
        self.fleet = fleet
        self.run = run
        self.started = fleet.clock.seconds()
        self.alive = True
        self.loads = Loads(fleet.clock)
        self.usage = SharedUsage(fleet.clock, startup_burst=1e9)
        self.queues = RemoteQueues(fleet.clock)
        self.waiting = {}
        self.log = ListLog()
        self.health = ServerHealth(fleet.clock)
        self.budget = ResendBudget(fleet.clock, LIMIT)
        self.origins = StreamOrigins(fleet.clock, lambda _: fleet.versions)
        self.quarantine = CrashQuarantine(fleet.clock, self.log)
        self.availability = InstanceAvailability(fleet.clock, Random(number), self.name)
        self.limits = ServerLimits(fleet.clock, self.log, Random(number + 7))
        self.store = FaultyStore(fleet.clock, fleet.clock, fleet.store)
        self.view = View()
        self.news = FleetNews(fleet.clock)
        self.news.add_topic(NEWS_TOPIC)
        share_usage_history(self.usage, self.news, self.log)
        self.changes = ChangeRelay(
            self.news, self.log, lambda: self.relay.schedule_report()
        )
        self.follower = StoreFollower(
            fleet.clock,
            self.store,
            "",
            self.view,
            self.log,
            Random(number),
            self.changes,
        )
        self.exchange = ReportExchange(self.receive, self.log, self.receive_news)
        self.exchange.transport = self
        self.bytes = 0
        self.relay = ReportRelay(
            clock=fleet.clock,
            instance=self.name,
            availability_zone=self.zone,
            own_report=self.own_report,
            send=self.exchange.send,
            on_report=lambda report: None,
            loads=self.loads,
            usage=self.usage,
            remote_queues=self.queues,
            health=self.health,
            budget=self.budget,
            follower=self.follower,
            origins=self.origins,
            quarantine=self.quarantine,
            limits=self.limits,
            availability=self.availability,
            news=self.news,
            log=self.log,
        )
        self.follower.start()

    def write(self, data, address):
        self.bytes += len(data)
        self.fleet.transmit(self, data, address)

    def receive(self, report, address):
        self.relay.receive(report, address)

    def receive_news(self, datagram, address):
        self.relay.receive_news(datagram, address)

    def observe(self, key, value):
        if self.news.put(NEWS_TOPIC.name, key, value):
            self.relay.schedule_report()

    def known_value(self, key):
        row = self.news.rows(NEWS_TOPIC.name).get(key)
        return None if row is None else row.value

    def own_report(self):
        now = self.fleet.clock.seconds()
        return Report(
            self.name,
            self.run,
            0,
            age=now - self.started,
            work={s: (c.calls, c.tokens) for s, c in self.loads.own().items()},
            usage=self.usage.totals(),
            waiting=waiting_from(self.waiting, now),
        )

    def begin(self, server, tokens):
        self.loads.begin(server, tokens)
        self.relay.schedule_report()

    def end(self, server, tokens):
        self.loads.end(server, tokens)
        self.relay.schedule_report()

    def lose(self, keys, server):
        """Lose a call with these keys, as its server ends."""
        self.quarantine.record_crash(keys, (server, 0))
        self.relay.schedule_report()

    def answer(self, keys):
        if self.quarantine.record_answer(keys):
            self.relay.schedule_report()

    def admit(self, account, units):
        wait = self.usage.admit(account, units)
        self.relay.schedule_report()
        return wait == 0


class Fleet:
    """Instances that exchange datagrams over a virtual network."""

    def __init__(self, size):
        self.clock = Clock()
        self.clock.advance(100.0)
        self.store = MemoryKeyValueStore(self.clock)
        self.cut_zone = None
        self.versions = {"v1", "v2"}
        self.datagrams = 0
        self.loses_datagram = lambda: False
        self.instances = [Instance(self, number) for number in range(size)]
        self.by_address = {each.address: each for each in self.instances}
        self.register()
        for each in self.instances:
            each.relay.start()
        self.run(SETTLED_SECONDS)

    def register(self):
        peers = {
            each.name: Peer(each.zone, each.address)
            for each in self.instances
            if each.alive
        }
        for each in self.instances:
            others = {name: peer for name, peer in peers.items() if name != each.name}
            each.relay.set_peers(others)

    def transmit(self, sender, data, address):
        receiver = self.by_address[address]
        zones = {sender.zone, receiver.zone}
        cut = len(zones) > 1 and self.cut_zone in zones
        if not sender.alive or not receiver.alive or cut:
            return
        self.datagrams += 1
        if self.loses_datagram():
            return
        self.clock.callLater(TRANSIT_SECONDS, self.deliver, sender, data, receiver)

    def deliver(self, sender, data, receiver):
        if receiver.alive:
            receiver.exchange.datagramReceived(data, sender.address)

    def kill(self, instance):
        instance.alive = False
        instance.relay.stop()

    def restart(self, instance):
        number = self.instances.index(instance)
        started = Instance(self, number, run=instance.run + 1)
        self.instances[number] = self.by_address[started.address] = started
        self.register()
        started.relay.start()
        return started

    def run(self, seconds):
        for _ in range(round(seconds / 0.005)):
            self.clock.advance(0.005)

    def live(self):
        return [each for each in self.instances if each.alive]

    def contacts(self):
        return {each.relay.contact for each in self.live()}


SIZES = (6, MAX_DIRECT_INSTANCES, 40, 130)
