"""Builds the components of one instance and runs their periodic tasks."""

import random
from collections.abc import Callable

import eliot
from twisted.internet.task import LoopingCall

from pomeloglade_coordination import (
    claim_messages,
    configuration_messages,
    membership_messages,
    placement_messages,
    recovery,
    share_messages,
)
from pomeloglade_coordination.bucket import Limit
from pomeloglade_coordination.claims import Claims
from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.configuration import ConfigurationSpread
from pomeloglade_coordination.key_value import KeyValueStore
from pomeloglade_coordination.lasting_tasks import guarded
from pomeloglade_coordination.members import Member
from pomeloglade_coordination.membership import ListedInstance, Membership
from pomeloglade_coordination.peer import PeerSender
from pomeloglade_coordination.placement import Placement
from pomeloglade_coordination.placement_owner import Replica
from pomeloglade_coordination.recovery import Recovery
from pomeloglade_coordination.retries import RetryBudget
from pomeloglade_coordination.shares import Shares
from pomeloglade_coordination.suspects import Suspects

from ..state.counters import CounterPage
from ..state.deployment import BackendServer, Deployment
from ..state.instance_record import InstanceRecord
from ..state.metrics import Metrics
from .components import Components
from .current_configuration import CurrentConfiguration
from .engine import Engines, Services
from .engine_directory import EngineDirectory
from .health import HealthMonitor
from .instance_list import InstanceList
from .local_choice import LocalChoice
from .model_orders import ModelOrders, weight_store_limits
from .open_requests import OpenRequests
from .owner_table import OwnerTable
from .peer_dispatch import PeerDispatch
from .request_tasks import RequestTasks

TICK_SECONDS = 0.2


class EntryInstance:
    """All components of an instance except its sockets.

    Parameters
    ----------
    own : Member
        This instance, with the incarnation of the running process.
    clock : IReactorTime
        Clock of every component.
    store : KeyValueStore
        The platform's key-value service.
    sender : PeerSender
        Carries messages to other instances.
    engines, services : Engines, Services
        Call the backend servers.
    decode : callable
        Decodes a configuration value from ``store`` into a deployment.
    """

    def __init__(
        self,
        *,
        own: Member,
        clock: Clock,
        store: KeyValueStore,
        sender: PeerSender,
        engines: Engines,
        services: Services,
        decode: Callable[[bytes], Deployment],
    ) -> None:
        self.clock = clock
        self.metrics = Metrics()
        self.counters = CounterPage()
        self.in_force = CurrentConfiguration()
        self.peers = PeerDispatch(self.metrics)
        self._owners = OwnerTable()
        self._decode = decode
        self._randomness = random.Random(f"{own.instance}/{own.incarnation}")
        self._build_fleet(own, store, sender)
        self._build_components(store, sender, engines, services)
        self._build_background_tasks(store, engines, sender)
        self._register_receivers_and_counters()

    def start(self) -> None:
        """Start polling, background tasks and the tick timer."""
        self.instance_list.start()
        self.configuration_spread.start()
        self.components.health.start()
        self.recovery.start()
        self.model_orders.start()
        self._ticker.start(TICK_SECONDS, now=False)

    def begin_drain(self) -> None:
        """Announce to the peers that this instance is leaving."""
        self.members.announce_leaving()

    def stop(self) -> None:
        """Return borrowed tokens and stop all background tasks."""
        self.components.shares.return_loans()
        self.components.health.stop()
        self.recovery.stop()
        self.model_orders.stop()
        self.configuration_spread.stop()
        self.instance_list.stop()
        self._ticker.stop()

    def _build_fleet(
        self, own: Member, store: KeyValueStore, sender: PeerSender
    ) -> None:
        self.members = Membership(
            own=own, clock=self.clock, sender=sender, random=self._randomness
        )
        self.configuration_spread = ConfigurationSpread(
            clock=self.clock,
            members=self.members,
            sender=sender,
            store=store,
            adopt=self._adopt,
            random=self._randomness,
        )
        self.instance_list = InstanceList(self.clock, store, self.metrics)
        self.instance_list.subscribe(self._on_instance_list)

    def _build_components(
        self,
        store: KeyValueStore,
        sender: PeerSender,
        engines: Engines,
        services: Services,
    ) -> None:
        clock, members = self.clock, self.members
        suspects = Suspects(clock=clock, members=members, sender=sender)
        placement = Placement(
            clock=clock,
            members=members,
            sender=sender,
            random=self._randomness,
            suspects=suspects,
        )
        health = HealthMonitor(clock, self.in_force, engines, placement, self.metrics)
        self.components = Components(
            clock=clock,
            in_force=self.in_force,
            shares=Shares(
                clock=clock, members=members, sender=sender, owners=self._owners
            ),
            placement=placement,
            suspects=suspects,
            retries=RetryBudget(clock=clock, random=self._randomness),
            claims=Claims(
                clock=clock,
                store=store,
                own=members.own,
                random=self._randomness,
                members=members,
                sender=sender,
            ),
            engines=engines,
            services=services,
            health=health,
            local_choice=LocalChoice(
                clock,
                self.in_force,
                placement,
                health,
                self.metrics,
                self._randomness,
            ),
            metrics=self.metrics,
        )
        self.open_requests = OpenRequests(
            members, self.in_force, self.metrics.open_requests_changed
        )
        self.tasks = RequestTasks(self.components, self.open_requests)

    def _build_background_tasks(
        self, store: KeyValueStore, engines: Engines, sender: PeerSender
    ) -> None:
        directory = EngineDirectory(self.in_force, engines)
        self.recovery = Recovery(
            clock=self.clock,
            members=self.members,
            engines=directory,
            random=self._randomness,
            availability_zones_by_server=directory.availability_zones_by_server,
            is_in_progress=self.open_requests.__contains__,
            sender=sender,
        )
        self.members.subscribe_death(self.recovery.member_fenced)
        self.model_orders = ModelOrders(
            own=self.members.own,
            clock=self.clock,
            store=store,
            in_force=self.in_force,
            engines=engines,
            shares=self.components.shares,
            random=self._randomness,
        )
        self._ticker = LoopingCall(guarded("ticks", self._tick))
        self._ticker.clock = self.clock

    def _register_receivers_and_counters(self) -> None:
        register = self.peers.register
        register(membership_messages, self.members.receive)
        register(configuration_messages, self.configuration_spread.receive)
        register(share_messages, self.components.shares.receive)
        register(placement_messages, self.components.placement.receive)
        register(recovery, self.recovery.receive)
        register(claim_messages, self.components.claims.receive)
        self.counters.add("membership", lambda: self.members.counters)
        self.counters.add("configuration", lambda: self.configuration_spread.counters)
        self.counters.add("shares", self.components.shares.counters)
        self.counters.add("placement", self.components.placement.counters)
        self.counters.add("suspects", self.components.suspects.counters)
        self.counters.add("claims", self.components.claims.counts)
        self.counters.add("model_orders", self.model_orders.counters)
        self.counters.add("retries", self.components.retries.counters)
        self.counters.add("recovery", lambda: self.recovery.counters)

    def _tick(self) -> None:
        self.members.tick()
        self.components.shares.tick()
        self.components.placement.tick()
        self.components.suspects.tick()

    def _adopt(self, revision: int, value: bytes) -> None:
        deployment = self._decode(value)
        if not self.in_force.adopt(revision, deployment):
            return
        self._owners.configure(deployment)
        self.components.shares.configure(_limits_by_account(deployment), revision)
        self.components.placement.configure(_replicas(deployment))
        eliot.log_message("pomeloglade:in_force", revision=revision)

    def _on_instance_list(self, instances: tuple[InstanceRecord, ...]) -> None:
        self.members.update_listing(
            ListedInstance(
                each.instance,
                each.availability_zone,
                each.peer_address,
                each.state == "leaving",
            )
            for each in instances
        )


def _limits_by_account(deployment: Deployment) -> dict[str, Limit]:
    limits = {
        account.name: Limit(account.rate, account.burst)
        for account in deployment.accounts_by_name.values()
    }
    return limits | weight_store_limits(deployment)


def _replicas(deployment: Deployment) -> list[Replica]:
    servers = deployment.backend_servers_by_name
    return [_replica(server) for _, server in sorted(servers.items())]


def _replica(server: BackendServer) -> Replica:
    return Replica(
        server.name,
        server.pool,
        server.role,
        server.availability_zone,
        server.slots,
        server.state == "serving",
    )
