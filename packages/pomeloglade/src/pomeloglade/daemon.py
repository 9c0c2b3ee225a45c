"""The daemon of one entry instance: sockets, start and graceful shutdown."""

import os
import sys
import time
from typing import Any

import eliot
from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.task import deferLater

from pomeloglade_coordination.members import Member

from .coordination.entry_instance import EntryInstance
from .process_signals import ProcessSignals
from .protocol.deployment import decode, without_withdrawn_keys
from .settings import Settings
from .standard_streams import STDOUT
from .startup import PortOpener
from .state.instance_record import InstanceRecord
from .transport.engines import HttpEngines
from .transport.http_client import HttpClient
from .transport.key_value import open_key_value_store
from .transport.peers import PeerLinks
from .transport.services import HttpServices
from .transport.site import RouterSite
from .transport.status_page import StatusPage
from .unforeseen_errors import log_unforeseen_errors

LISTING_TIMEOUT_SECONDS = 10.0
"""Longest wait of a shutdown for the platform's list to show this instance leaving."""

MILLISECONDS_PER_SECOND = 1000


class Daemon:
    """Runs one entry instance on a reactor."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._http = HttpClient(reactor)
        self._links = PeerLinks(
            reactor=reactor,
            own=lambda: self._instance.members.own,
            listen_host=settings.peer_host,
            listen_port=settings.peer_port,
            on_message=lambda instance, message: self._instance.peers.receive(
                instance, message
            ),
            secret=settings.peer_secret,
            on_connected=lambda member: self._instance.members.peer_connected(member),
        )
        own = Member(
            settings.instance,
            settings.availability_zone,
            int(time.time() * MILLISECONDS_PER_SECOND),
            f"{settings.peer_host}:{self._links.listening_port}",
        )
        self._instance = EntryInstance(
            own=own,
            clock=reactor,
            store=open_key_value_store(
                reactor,
                settings.platform_url,
                timeout=settings.platform_timeout,
                name=settings.instance,
            ),
            sender=self._links,
            engines=HttpEngines(self._http, reactor),
            services=HttpServices(reactor),
            decode=lambda value: without_withdrawn_keys(decode(value)),
        )
        self._status = StatusPage(
            self._instance.members,
            self._instance.in_force,
            self._instance.configuration_spread,
            self._instance.open_requests,
            self._instance.counters,
        )
        self._listed_leaving: Deferred[None] = Deferred()
        self._addresses_by_instance: dict[str, str] = {}

    async def start(self, opener: PortOpener) -> None:
        """Listen for callers, connect to the peers and start the instance."""
        instance = self._instance
        site = RouterSite(
            instance.in_force, instance.tasks, instance.metrics, self._status
        )
        endpoint = TCP4ServerEndpoint(
            reactor, self._settings.listen_port, interface=self._settings.listen_host
        )
        self._connection_tracker = site.build_factory(self._settings.max_body_bytes)
        self._listener = await opener.open_required(
            "callers", lambda: endpoint.listen(self._connection_tracker)
        )
        for address in self._settings.peer_addresses:
            self._links.connect(address)
        instance.instance_list.subscribe(self._on_instance_list)
        instance.members.subscribe(self._update_peer_links)
        instance.start()
        reactor.addSystemEventTrigger("before", "shutdown", self._drain)
        eliot.log_message(
            "pomeloglade:listening",
            port=self._listener.getHost().port,
            peer_port=self._links.listening_port,
        )

    def _on_instance_list(self, instances: tuple[InstanceRecord, ...]) -> None:
        own = self._settings.instance
        self._addresses_by_instance = {
            each.instance: each.peer_address for each in instances
        }
        self._update_peer_links()
        live = any(each.instance == own and each.state == "live" for each in instances)
        if self._status.draining and not live and not self._listed_leaving.called:
            self._listed_leaving.callback(None)

    def _update_peer_links(self) -> None:
        peers = self._instance.members.connection_targets()
        self._links.set_peers(
            [*self._settings.peer_addresses, *(each.address for each in peers)],
            self._addresses_by_instance,
        )

    def _drain(self) -> "Deferred[None]":
        return Deferred.fromCoroutine(self._shut_down())

    async def _shut_down(self) -> None:
        """Finish the open requests, then return loans and stop the instance.

        New requests are accepted until the platform's list shows the instance as
        leaving, because the platform's load balancer sends them until then, but not
        for longer than ``LISTING_TIMEOUT_SECONDS``.
        """
        eliot.log_message("pomeloglade:draining")
        self._status.draining = True
        self._instance.begin_drain()
        listed = DeferredList(
            [self._listed_leaving, deferLater(reactor, LISTING_TIMEOUT_SECONDS)],
            fireOnOneCallback=True,
        )
        await listed
        await self._listener.stopListening()
        unfinished = await self._finish_requests()
        self._instance.stop()
        await self._links.close()
        eliot.log_message("pomeloglade:stopped", cut_requests=unfinished)

    async def _finish_requests(self) -> int:
        """Wait for the open requests; return how many the drain timeout cuts off.

        A request is finished only when its last byte has been sent, so the
        connections are flushed and closed once all requests are answered.
        """
        seconds = self._settings.drain_timeout.total_seconds()
        finished = self._instance.open_requests.when_idle()
        finished.addCallback(lambda _: deferLater(reactor, 0))
        finished.addCallback(lambda _: self._connection_tracker.close_all())
        finished.addTimeout(seconds, reactor, lambda *_: None)
        await finished
        return len(self._instance.open_requests)


class _Log:
    """Writes the events of the start to the daemon's log."""

    def event(self, name: str, **fields: Any) -> None:
        eliot.log_message(f"pomeloglade:{name}", **fields)


def run(settings: Settings, signals: ProcessSignals) -> None:
    """Run the daemon until a signal stops it."""
    eliot.to_file(sys.stdout or os.fdopen(STDOUT, "w"))
    log_unforeseen_errors(_Log().event)
    failures: list[object] = []
    stopping = False

    def failed(failure: object) -> None:
        failures.append(failure)
        eliot.log_message("pomeloglade:not_started", reason=str(failure))
        stop()

    def stop() -> None:
        nonlocal stopping
        if not stopping:
            stopping = True
            reactor.stop()

    def reload() -> None:
        """Log a reload request; settings are read at the start only."""
        eliot.log_message("pomeloglade:reloaded")

    def start() -> None:
        signals.deliver(reactor.callFromThread, reload, stop)
        opener = PortOpener(reactor, _Log())
        Deferred.fromCoroutine(_start(settings, opener)).addErrback(failed)

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    if failures:
        sys.exit(1)


async def _start(settings: Settings, opener: PortOpener) -> None:
    async def build() -> Daemon:
        return Daemon(settings)

    # The address of the peers' port is a part of what the daemon is built of.
    daemon = await opener.open_required("peers", build)
    await daemon.start(opener)
