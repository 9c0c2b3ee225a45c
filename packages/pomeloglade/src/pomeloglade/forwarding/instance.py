"""A forwarding instance: wiring of its components, start and shutdown."""

import json
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from pomeloglade_coordination.key_value import KeyValueStore
from pomeloglade_coordination.lasting_tasks import keep_running

from ..transport.held_memory import (
    HeldMemory,
    max_held_bytes,
)
from ..transport.http_exchange import ConnectionPool
from ..transport.http_site import HttpSite
from ..transport.text_pages import TextPages
from ..transport.unread_responses import UnreadResponses, max_unread_bytes
from .allowed_regions import AllowedRegions
from .backends import Backends, BackendServer
from .calls import CallCodec
from .change_relay import ChangeRelay
from .cold_servers import ColdServers
from .crash_quarantine import CrashQuarantine
from .engine_queues import EngineQueues
from .event_log import EventLog
from .fleet_news import FleetNews, NewsDatagram
from .forwarder import Forwarder
from .forwarding_metrics import ForwardingMetrics
from .forwarding_settings import ForwardingSettings
from .instance_availability import InstanceAvailability
from .instance_groups import decode_peer
from .instance_reports import Report, ReportExchange, waiting_from
from .listeners import Listeners
from .loads import Loads
from .model_calls import ModelCalls
from .passed_on_calls import PassedOnCalls
from .peer_calls import PeerCalls
from .plain_calls import PlainCalls
from .plain_queues import PlainQueues
from .planned_stop import PlannedStop
from .prefill_pauses import PrefillPauses
from .prefills import Prefills
from .quarantine_store import QuarantineStore
from .registration import Registration, StoredValue
from .remote_queues import QueueSummary, RemoteQueues
from .report_relay import ReportRelay
from .resend_budget import ResendBudget
from .send_context import SendContext
from .server_choice import server_choice
from .server_health import ServerHealth
from .server_limits import ServerLimits
from .server_pace import ServerPace
from .server_probes import ServerProbes
from .server_reach import ServerReach
from .stage_orders import StageOrders
from .store_follower import StoreFollower
from .store_view import StoreLayout, StoreView
from .stream_origins import StreamOrigins
from .usage import SharedUsage
from .usage_history import share_usage_history
from .version_history import VersionHistory

RUN_ID_BITS = 53
"""Bits of the random run id. CBOR and JSON readers keep this many exactly."""

REMOVAL_GRACE_FRACTION = 0.75
"""Grace period of a server whose entry lapsed during a store outage, as a fraction of
the time for which a leaving server still serves calls."""

STAGE_CHANGE_AVOID_SECONDS = 1.5
"""How long an engine that is reported as changing its stage is avoided; the next
report extends it."""


class ForwardingInstance:
    """Builds and connects the components of an instance.

    Parameters
    ----------
    reactor : IReactorTCP, IReactorUDP and IReactorTime
        Provides sockets and timers.
    random : random.Random
        Seeded differently at each start of an instance; its first bits are the run id.
    """

    def __init__(
        self,
        reactor: Any,
        settings: ForwardingSettings,
        store: KeyValueStore,
        layout: StoreLayout,
        codec: CallCodec,
        log: EventLog,
        random: Random,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._store = store
        self._log = log
        self._run = random.getrandbits(RUN_ID_BITS)
        self._random = random
        self._server_choice = server_choice(settings.server_choice, random)
        self._started = reactor.seconds()
        self._draining = False
        self._key = layout.instances_prefix + settings.instance
        self._pool = ConnectionPool(reactor)
        self._loads = Loads(reactor)
        self._health = ServerHealth(reactor)
        self._usage = SharedUsage(
            reactor,
            window=settings.usage_window,
            startup_burst=settings.usage_startup_burst,
        )
        self._budget = ResendBudget(reactor, settings.resend_limit)
        self._backends = Backends(
            reactor,
            self._server_unusable,
            grace=REMOVAL_GRACE_FRACTION * settings.server_drain_seconds,
        )
        self._reach = ServerReach(reactor, self._backends, log)
        self._availability = InstanceAvailability(reactor, random, settings.instance)
        self._availability.own_unavailable = lambda: (
            self._draining or bool(self._reach.services_out_of_reach())
        )
        self._remote_queues = RemoteQueues(reactor)
        self._quarantine = CrashQuarantine(reactor, log)
        self._limits = ServerLimits(reactor, log, random)
        self.store_view = StoreView(
            layout=layout,
            backends=self._backends,
            log=log,
            revoke_seconds=settings.key_revoke_seconds,
            transit_seconds=settings.transit_seconds,
            apply_seconds=settings.config_apply_seconds,
        )
        self._news = FleetNews(reactor)
        share_usage_history(self._usage, self._news, log)
        changes = ChangeRelay(self._news, log, lambda: self._relay.schedule_report())
        self._follower = StoreFollower(
            reactor, store, "", self.store_view, log, random, changes
        )
        self.store_view.age = self._follower.age
        self.store_view.on_instances_changed = self._peers_changed
        self.store_view.on_change = self._place_waiting
        self._quarantine_store = QuarantineStore(
            clock=reactor,
            store=store,
            instance=settings.instance,
            quarantine=self._quarantine,
            backends=self._backends,
            log=log,
            instances=lambda: self.store_view.instances,
            store_age=self._follower.age,
        )
        if layout.quarantine_prefix is not None:
            self.store_view.quarantine = self._quarantine_store
        self._versions = VersionHistory(
            clock=reactor,
            store=store,
            instance=settings.instance,
            backends=self._backends,
            log=log,
            services=self.store_view.engine_services,
            instances=lambda: self.store_view.instances,
            store_age=self._follower.age,
        )
        if layout.versions_prefix is not None:
            self.store_view.versions = self._versions
        self._origins = StreamOrigins(reactor, self._versions.recent)
        self._registration = Registration(
            reactor, store, self._key, self._own_record, log, self._stored_record
        )
        self._pace = ServerPace(
            reactor,
            self._news,
            server_by_id=self._backends.get,
            on_news=lambda: self._relay.schedule_report(),
        )
        self.store_view.cold = self._limits.cold
        self._cold_servers = ColdServers(
            reactor,
            self._backends,
            self._limits,
            self._news,
            log,
            lambda: self.store_view.deployment,
            settings.cold_bound,
        )
        self._exchange = ReportExchange(self._receive_report, log, self._receive_news)
        self._relay = ReportRelay(
            clock=reactor,
            instance=settings.instance,
            availability_zone=settings.availability_zone,
            own_report=self._report,
            send=self._exchange.send,
            on_report=self._report_applied,
            loads=self._loads,
            usage=self._usage,
            remote_queues=self._remote_queues,
            health=self._health,
            budget=self._budget,
            follower=self._follower,
            origins=self._origins,
            quarantine=self._quarantine,
            limits=self._limits,
            availability=self._availability,
            news=self._news,
            log=log,
        )
        self._cold_servers.on_news = self._relay.schedule_report
        self._plain_queues = PlainQueues(
            clock=reactor,
            random=random,
            backends=self._backends,
            loads=self._loads,
            health=self._health,
            limits=self._limits,
            remote_queues=self._remote_queues,
            news=self._news,
            instance=settings.instance,
            on_change=self._relay.schedule_report,
        )
        self._plain_queues.pace = self._pace.ratio
        metrics = ForwardingMetrics()
        regions = AllowedRegions(
            settings.region_by_zone, settings.availability_zone, settings.region
        )
        context = SendContext(
            clock=reactor,
            codec=codec,
            pool=self._pool,
            backends=self._backends,
            loads=self._loads,
            health=self._health,
            budget=self._budget,
            quarantine=self._quarantine,
            limits=self._limits,
            reach=self._reach,
            log=log,
            on_load_changed=self._relay.schedule_report,
            pace=self._pace,
            trials=self._quarantine_store.trials,
            regions=regions,
            on_cold=self._cold_servers.record_answer,
        )
        self._reach.probe = ServerProbes(context, self.store_view).probe
        self._reach.on_change = self._availability_changed
        self._ends = context.ends
        self._ends.share(self._news, self._relay.schedule_report)
        self._ends.on_loss = self._quarantine_store.record_loss
        self._peer_calls = PeerCalls(context, self._availability, random)
        pauses = PrefillPauses(reactor, self._loads, self._news)
        prefills = Prefills(context, log, pauses)
        self._engine_queues = EngineQueues(
            context=context,
            store_view=self.store_view,
            prefills=prefills,
            versions=self._versions,
            remote_queues=self._remote_queues,
            availability_zone=settings.availability_zone,
            server_choice=self._server_choice,
            random=random,
        )
        unread = UnreadResponses(
            max_unread_bytes(settings.machine_bytes),
            reactor,
            lambda reason: log.event("response_broken_off", reason=reason),
        )
        self.forwarder = Forwarder(
            clock=reactor,
            random=random,
            codec=codec,
            store_view=self.store_view,
            usage=self._usage,
            budget=self._budget,
            plain_calls=PlainCalls(
                context,
                random,
                settings.availability_zone,
                self._server_choice,
                self._plain_queues,
            ),
            model_calls=ModelCalls(
                context,
                prefills,
                self._engine_queues.for_service,
                self._origins,
                self._versions,
                self._relay.fleet_contact,
            ),
            peer_calls=self._peer_calls,
            log=log,
            metrics=metrics,
            regions=regions,
            unread_responses=unread,
        )
        self._stage_orders = StageOrders(
            clock=reactor,
            store=store,
            holder=settings.instance,
            key=layout.order_lease_key,
            pause_seconds=settings.order_pause_seconds,
            prefill_share=settings.prefill_share,
            context=context,
            store_view=self.store_view,
            random=random,
            on_order=self._stage_ordered,
        )
        metrics.gauge("belief_age_seconds", self.store_view.age)
        metrics.gauge("open_calls", lambda: self.forwarder.open_calls)
        metrics.gauge("store_calls", lambda: self._follower.calls)
        metrics.gauge("reports_sent", lambda: self._exchange.sent)
        metrics.gauge("reports_received", lambda: self._exchange.received)
        metrics.gauge("suspected_keys", self._quarantine.count_suspected)
        metrics.gauge("stored_quarantines", self._quarantine_store.count)
        metrics.gauge("quarantine_store_calls", lambda: self._quarantine_store.calls)
        metrics.gauge("version_store_calls", lambda: self._versions.calls)
        metrics.gauge("limited_servers", self._limits.count)
        metrics.gauge("zones_out_of_use", lambda: len(self._backends.evacuations))
        metrics.gauge("slowest_pace", self._pace.slowest)
        metrics.gauge("cold_servers", self._limits.count_cold)
        metrics.gauge(
            "services_out_of_reach", lambda: len(self._reach.services_out_of_reach())
        )
        self._plain_queues.add_gauges(metrics)
        metrics.gauge("connections_opened", lambda: self._pool.opened_count)
        metrics.gauge("log_lines_dropped", lambda: log.dropped)
        memory = HeldMemory(max_held_bytes(settings.machine_bytes))
        metrics.gauge("held_bytes", lambda: memory.total)
        metrics.gauge("held_bytes_refused", lambda: memory.refused)
        metrics.gauge("unread_bytes", lambda: unread.total)
        metrics.gauge(
            "unread_bytes_largest_account", lambda: unread.largest_account_bytes
        )
        metrics.gauge("unread_refused", lambda: unread.refused)
        metrics.gauge("unread_broken_off", lambda: unread.broken_off)
        owner_of = self.forwarder.owner_of
        self._site = HttpSite(
            self.forwarder, reactor, self._rejected, memory, owner_of, unread
        )
        self._peer_site = HttpSite(
            PassedOnCalls(self.forwarder),
            reactor,
            self._rejected,
            memory,
            owner_of,
            unread,
        )
        self._listeners = Listeners(
            reactor,
            settings,
            log,
            pages=TextPages(settings.ready_path, self._ready, metrics.render),
            callers=self._site,
            peers=self._peer_site,
            reports=self._exchange,
        )

    async def start(self) -> None:
        """Start listening, following the store and registering."""
        await self._listeners.open()
        self._relay.start()
        keep_running(self._reactor, "store_follower", self._follower.start)
        keep_running(self._reactor, "registration", self._registration.start)
        self._stage_orders.start()
        if self.store_view.quarantine is not None:
            self._quarantine_store.start()
        if self.store_view.versions is not None:
            self._versions.start()
        self._reactor.addSystemEventTrigger("before", "shutdown", self._drain)
        self._log.event("started", run=self._run, front_port=self._settings.front_port)

    def reload(self) -> None:
        """Log a reload request; settings are read at the start only."""
        self._log.event("reloaded")

    def _ready(self) -> bool:
        return not self._draining and self.store_view.ready()

    def _own_record(self) -> bytes:
        address = f"{self._settings.host}:{self._settings.peer_port}"
        zone = self._settings.availability_zone
        return json.dumps({"address": address, "zone": zone}).encode()

    def _stored_record(self) -> StoredValue:
        value = self.store_view.instances.get(self._settings.instance)
        return StoredValue(value, self._follower.revision)

    def _peers_changed(self) -> None:
        peers = {}
        for name, value in self.store_view.instances.items():
            if name == self._settings.instance:
                continue
            try:
                peers[name] = decode_peer(value)
            except ValueError as error:
                self._log.event("instance_rejected", key=name, reason=str(error))
        self._relay.set_peers(peers)
        self._peer_calls.set_peers(peers)

    def _availability_changed(self) -> None:
        self._ends.review()
        self._availability.report_at_once()
        self._relay.schedule_report()

    def _place_waiting(self) -> None:
        self._cold_servers.refresh()
        self._ends.confirm_ended()
        self._engine_queues.place_waiting()
        self._plain_queues.place_waiting()

    def _report(self) -> Report:
        """Return this instance's own state."""
        changing = self._stage_orders.changing()
        for server in changing:
            self._health.avoid(server, STAGE_CHANGE_AVOID_SECONDS)
        return Report(
            instance=self._settings.instance,
            run=self._run,
            sequence=0,
            age=round(self._reactor.seconds() - self._started, 3),
            work={
                server: (own.calls, own.tokens)
                for server, own in self._loads.own().items()
            },
            usage=self._usage.totals(),
            waiting=waiting_from(self._queues(), self._reactor.seconds()),
            changing=changing,
            leaving=self._backends.leaving(),
        )

    def _queues(self) -> dict[str, QueueSummary]:
        return self._engine_queues.summaries() | self._plain_queues.summaries()

    def _stage_ordered(self, server: str) -> None:
        self._health.avoid(server, STAGE_CHANGE_AVOID_SECONDS)
        self._relay.schedule_report()

    def _receive_report(self, report: Report, address: tuple[str, int]) -> None:
        self._relay.receive(report, address)

    def _receive_news(self, datagram: NewsDatagram, address: tuple[str, int]) -> None:
        self._relay.receive_news(datagram, address)

    def _report_applied(self, report: Report) -> None:
        for server in report.changing:
            self._health.avoid(server, STAGE_CHANGE_AVOID_SECONDS)
        for server, started_ms in report.leaving:
            if self._backends.mark_leaving(server, started_ms):
                self._log.event("server_leaving", server=server, source=report.instance)
        self._place_waiting()

    def _server_unusable(self, server: BackendServer) -> None:
        self._pool.close_idle_to(server.address)
        self._health.remove(server.id)

    def _rejected(self, status: int, reason: str) -> None:
        self._log.event("request_rejected", status=status, reason=reason)

    def _drain(self) -> "Deferred[None]":
        return Deferred.fromCoroutine(self._shut_down())

    async def _shut_down(self) -> None:
        """Report that the instance is not ready, and finish its calls."""
        self._log.event("draining", open_calls=self.forwarder.open_calls)
        self._draining = True
        self._availability_changed()
        self._stage_orders.stop()
        stop = PlannedStop(
            self._reactor,
            forwarder=self.forwarder,
            listeners=self._listeners,
            sites=(self._site, self._peer_site),
            grace=self._settings.shutdown_grace_seconds,
        )
        await stop.run()
        self._relay.stop()
        self._log.event("stopped", open_calls=self.forwarder.open_calls)
        self._log.flush()
