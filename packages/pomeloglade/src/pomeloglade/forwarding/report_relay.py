"""Passes reports between instances, through one contact of each group of them."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from twisted.internet.interfaces import IReactorTime

from .crash_quarantine import CrashQuarantine
from .event_log import EventLog
from .fleet_contact import FleetContact
from .fleet_news import FleetNews, NewsDatagram, NewsRows
from .instance_availability import InstanceAvailability
from .instance_groups import InstanceGroups, Peer
from .instance_reports import Report, ReportKind, waiting_from
from .known_peers import KnownPeers
from .loads import PEER_LOAD_MAX_AGE_SECONDS, Loads
from .remote_queues import QueueSummary, RemoteQueues, merge_queues
from .report_intervals import (
    BUSY_INTERVAL_SECONDS,
    CANDIDATES_PER_GROUP,
    CHECK_INTERVAL_SECONDS,
    CONTACT_SILENCE_SECONDS,
    IDLE_INTERVAL_SECONDS,
    MAX_TAKEOVER_STEPS,
    MEMBER_SILENCE_SECONDS,
    MIN_INTERVAL_SECONDS_BY_KIND,
    ORIGINS_BY_KIND,
    REPORT_DELAY_SECONDS,
    RETURN_SECONDS,
    STARTED_SECONDS,
    TAKEOVER_PAUSE_SECONDS,
    TAKEOVER_STEP_SECONDS,
)
from .report_news import News, without
from .report_sums import changing_in, queues_of, scope_of, work_from
from .resend_budget import ResendBudget
from .server_health import ServerHealth
from .server_limits import ServerLimits
from .store_follower import StoreFollower
from .stream_origins import StreamOrigins
from .usage import SharedUsage


class ReportRelay:
    """Keeps this instance's knowledge of the fleet up to date, and the fleet's of it.

    The instances form groups (see ``InstanceGroups``). The first live candidate of a
    group is its contact: its members report to it, contacts report the sums of their
    groups to each other, and each sends its members digests of all the others. A
    member thus applies one report for the whole fleet. In a small fleet each instance
    is a group of its own, and all report to each other.

    A contact that falls silent is replaced by the next candidate, which sends digests
    in its place until it hears the better one again. Until then, members treat all
    others as silent: usage limits reserve the shares of the instances that no report
    covers.

    Parameters
    ----------
    own_report : callable
        Returns the report of this instance's own state.
    send : callable
        Sends a report to an address.
    on_report : callable
        Called after a report was applied.

    Attributes
    ----------
    fleet_contact : FleetContact
        Whether this instance has heard what the others know.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        instance: str,
        availability_zone: str,
        own_report: Callable[[], Report],
        send: Callable[[Report | NewsDatagram, tuple[str, int]], None],
        on_report: Callable[[Report], None],
        loads: Loads,
        usage: SharedUsage,
        remote_queues: RemoteQueues,
        health: ServerHealth,
        budget: ResendBudget,
        follower: StoreFollower,
        origins: StreamOrigins,
        quarantine: CrashQuarantine,
        limits: ServerLimits,
        availability: InstanceAvailability,
        news: FleetNews,
        log: EventLog,
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._zone = availability_zone
        self._own_report = own_report
        self._send_report = send
        self._on_report = on_report
        self._loads = loads
        self._usage = usage
        self._remote_queues = remote_queues
        self._health = health
        self._budget = budget
        budget.covers_all = lambda: usage.covered() >= usage.instances
        self._follower = follower
        self._origins = origins
        self._quarantine = quarantine
        self._limits = limits
        self._availability = availability
        self._news = news
        self._due_rows: NewsRows = {}
        limits.coverage = lambda: (usage.covered(), usage.instances)
        self._log = log
        self._known = KnownPeers(clock)
        self.fleet_contact = FleetContact(
            clock, lambda: (usage.covered(), usage.instances)
        )
        self._peers_by_instance: dict[str, Peer] = {}
        self._sequence = 0
        self._contact: str | None = None
        self._contact_since = float("-inf")
        self._waiting_since = clock.seconds()
        self._digest_heard_at: dict[str, float] = {}
        self._members: dict[str, tuple[float, Report]] = {}
        self._contacts: dict[str, tuple[float, Report]] = {}
        self._news_by_kind: dict[ReportKind, News] = {}
        self._news_by_member: dict[str, News] = {}
        self._last_heard: dict[str, tuple[int, float]] = {}
        self._returned_at: dict[str, float] = {}
        self._told_at: dict[str, float] = {}
        self._started_at: dict[str, float] = {}
        self._sent_at_by_kind: dict[ReportKind, float] = {}
        self._timers_by_kind: dict[ReportKind, Any] = {}
        self._check_timer: Any = None
        self._stopped = False
        self._group_instances()

    @property
    def contact(self) -> str | None:
        """The contact of this instance's group, or ``None`` while there is none."""
        return self._contact

    def start(self) -> None:
        """Start the periodic reports and checks."""
        self._check()

    def stop(self) -> None:
        """Stop the reports and checks."""
        self._stopped = True
        for timer in (self._check_timer, *self._timers_by_kind.values()):
            if timer is not None and timer.active():
                timer.cancel()

    def set_peers(self, peers_by_instance: Mapping[str, Peer]) -> None:
        """Set the other registered instances."""
        self._known.set_registered(peers_by_instance)
        self._update_peers()

    def _update_peers(self) -> None:
        """Apply which instances are registered or heard."""
        peers_by_instance = self._known.peers()
        self._count_instances(len(peers_by_instance))
        if peers_by_instance == self._peers_by_instance:
            return
        for instance in set(self._peers_by_instance) - set(peers_by_instance):
            self._forget(instance)
            self._last_heard.pop(instance, None)
            self._returned_at.pop(instance, None)
            self._told_at.pop(instance, None)
            self._started_at.pop(instance, None)
        self._peers_by_instance = peers_by_instance
        self._group_instances()
        self._elect_contact()
        self.schedule_report()

    def schedule_report(self) -> None:
        """Report a change of this instance's state after a short delay."""
        for kind in self._kinds():
            self._schedule(kind)

    def receive(self, report: Report, address: tuple[str, int]) -> None:
        """Apply a report that this instance's role needs, and ignore others."""
        self._known.hear(report.instance, address)
        peer = self._peers_by_instance.get(report.instance)
        if peer is None or peer.address != address:
            self._log.event(
                "report_of_unknown", sender=report.instance, address=address[0]
            )
            return
        now = self._clock.seconds()
        run, heard_at = self._last_heard.get(report.instance, (0, float("-inf")))
        if run != report.run or now - heard_at > RETURN_SECONDS:
            self._returned_at[report.instance] = now
            self.fleet_contact.record_return()
        self._last_heard[report.instance] = (report.run, now)
        self._started_at[report.instance] = now - report.age
        group = self._groups.group_of(report.instance)
        if report.kind is ReportKind.DIGEST:
            if group != self._own_group:
                return
            self._digest_heard_at[report.instance] = now
            self._elect_contact()
            if report.instance != self._contact:
                return
            self._apply_store_proof(report)
        elif not self._is_contact:
            return
        elif report.kind is ReportKind.MEMBER:
            if group != self._own_group:
                return
            self._members[report.instance] = (now, report)
            news = News(report.failures, report.resends, report.sends)
            self._pass_on(news, ReportKind.GROUP, ReportKind.DIGEST)
            self._news_by_member.setdefault(report.instance, News()).add(news)
            self._schedule(ReportKind.GROUP)
            self._schedule(ReportKind.DIGEST)
        else:
            known = self._contacts.get(group)
            if known is not None and known[1].instance != report.instance:
                self._forget(known[1].instance)
            self._contacts[group] = (now, report)
            news = News(report.failures, report.resends, report.sends)
            self._pass_on(news, ReportKind.DIGEST)
            self._schedule(ReportKind.DIGEST)
        self._apply(report)

    def receive_news(self, datagram: NewsDatagram, address: tuple[str, int]) -> None:
        """Apply the rows of an instance whose reports this instance applies too."""
        peer = self._peers_by_instance.get(datagram.instance)
        if peer is None or peer.address != address:
            return
        in_group = self._groups.group_of(datagram.instance) == self._own_group
        if datagram.kind == ReportKind.DIGEST:
            applies = in_group and datagram.instance == self._contact
        else:
            is_member = datagram.kind == ReportKind.MEMBER
            applies = self._is_contact and in_group == is_member
        if applies:
            self._news.apply(datagram.rows, scope_of(datagram.kind))
            if self._is_contact and len(self._ranking) > 1:
                self.schedule_report()

    @property
    def _is_contact(self) -> bool:
        return self._contact == self._instance

    def _group_instances(self) -> None:
        zones = {
            name: peer.availability_zone
            for name, peer in self._peers_by_instance.items()
        }
        self._groups = InstanceGroups({**zones, self._instance: self._zone})
        self._own_group = self._groups.group_of(self._instance)
        self._ranking = self._groups.ranking(self._own_group)
        self._count_instances(len(zones))
        self._update_follower()
        for members in (self._members, self._contacts):
            for key, (_, report) in list(members.items()):
                group = self._groups.group_of(report.instance)
                own = group == self._own_group
                if own is not (members is self._members) or (
                    members is self._contacts and group != key
                ):
                    del members[key]
                    self._forget(report.instance)

    def _count_instances(self, peers: int) -> None:
        instances = 1 + peers + self._known.count_others()
        self._usage.instances = self._budget.instances = instances

    def _elect_contact(self) -> None:
        """Choose the first candidate that is heard, or take over after its silence."""
        now = self._clock.seconds()
        rank = self._ranking.index(self._instance)
        for candidate in self._ranking[:rank]:
            heard_at = self._digest_heard_at.get(candidate, float("-inf"))
            if now - heard_at <= CONTACT_SILENCE_SECONDS:
                self._waiting_since = now
                self._set_contact(candidate)
                return
        steps = min(rank, MAX_TAKEOVER_STEPS)
        patience = CONTACT_SILENCE_SECONDS + TAKEOVER_STEP_SECONDS * steps
        if rank == 0 or self._is_contact or now - self._waiting_since >= patience:
            self._set_contact(self._instance)

    def _set_contact(self, contact: str) -> None:
        former = self._contact
        if contact == former:
            return
        self._contact = contact
        self._contact_since = self._clock.seconds()
        self._news_by_kind.clear()
        self._news_by_member.clear()
        self._update_follower()
        if former is not None:
            self._log.event("contact_changed", contact=contact, former=former)
        if former == self._instance:
            for _, report in (*self._members.values(), *self._contacts.values()):
                self._forget(report.instance)
            self._members.clear()
            self._contacts.clear()
        elif former is not None:
            self._forget(former)
        self.schedule_report()

    def _update_follower(self) -> None:
        in_group = len(self._ranking) > 1
        self._follower.relays_proofs = self._is_contact and in_group

    def _forget(self, instance: str) -> None:
        self._loads.remove_instance(instance)
        self._usage.remove_instance(instance)
        self._remote_queues.remove_instance(instance)

    def _apply_store_proof(self, report: Report) -> None:
        """Apply the contact's proof, as of the time of the report that it echoes."""
        if report.store is None or report.echo is None:
            return
        run, stamp = report.echo
        if run == self._own_report().run:
            self._follower.apply_relayed(report.store, stamp - report.store.age)

    def _pass_on(self, news: News, *kinds: ReportKind) -> None:
        """Add news to the next report of each kind that this instance sends."""
        for kind in set(kinds) & set(self._kinds()):
            self._news_by_kind.setdefault(kind, News()).add(news)

    def _apply(self, report: Report) -> None:
        self._health.apply_outcomes(report.failures)
        self._budget.apply_reported(report.resends)
        scope = scope_of(report.kind)
        self._origins.apply_reported(report.origins, scope)
        self._quarantine.apply_reported(report.crashes, report.sound, scope)
        self._limits.apply_reported(report.limits, scope, report.instance)
        self._limits.apply_sends(report.sends)
        self._availability.apply_reported(report.unavailable, scope)
        self._loads.apply_report(report.instance, report.calls_by_server())
        self._usage.apply_report(
            report.instance,
            report.run,
            report.usage,
            age=report.age,
            covers=report.covers,
            of_own_group=report.kind is ReportKind.MEMBER,
        )
        queues = report.queues_by_service(self._clock.seconds())
        self._remote_queues.apply_report(report.instance, queues)
        self._on_report(report)

    def _check(self) -> None:
        """Elect the contact, drop what is silent, and send the periodic reports."""
        now = self._clock.seconds()
        self._check_timer = self._clock.callLater(CHECK_INTERVAL_SECONDS, self._check)
        self._update_peers()
        for reports, silence in (
            (self._members, MEMBER_SILENCE_SECONDS),
            # Another contact may report the same calls before; until then they count.
            (self._contacts, PEER_LOAD_MAX_AGE_SECONDS),
        ):
            for key, (heard_at, report) in list(reports.items()):
                if now - heard_at > silence:
                    del reports[key]
                    self._loads.remove_instance(report.instance)
        self._elect_contact()
        interval = BUSY_INTERVAL_SECONDS if self._loads.own() else IDLE_INTERVAL_SECONDS
        for kind in self._kinds():
            if now - self._sent_at_by_kind.get(kind, float("-inf")) >= interval:
                self._send(kind)

    def _kinds(self) -> tuple[ReportKind, ...]:
        """Return the kinds of reports that this instance's role sends."""
        if self._contact is None:
            return ()
        if not self._is_contact:
            return (ReportKind.MEMBER,)
        if len(self._ranking) == 1:
            return (ReportKind.GROUP,)
        if self._clock.seconds() - self._contact_since < TAKEOVER_PAUSE_SECONDS:
            return (ReportKind.DIGEST,)
        return (ReportKind.GROUP, ReportKind.DIGEST)

    def _schedule(self, kind: ReportKind) -> None:
        timer = self._timers_by_kind.get(kind)
        if self._stopped or (timer is not None and timer.active()):
            return
        pause = 0.0
        if len(self._ranking) > 1:
            pause = MIN_INTERVAL_SECONDS_BY_KIND[kind]
        now = self._clock.seconds()
        earliest = self._sent_at_by_kind.get(kind, float("-inf")) + pause
        delay = max(REPORT_DELAY_SECONDS, earliest - now)
        self._timers_by_kind[kind] = self._clock.callLater(delay, self._send, kind)

    def _send(self, kind: ReportKind) -> None:
        if kind not in self._kinds():
            # The role has changed since this was scheduled.
            return
        self._sent_at_by_kind[kind] = self._clock.seconds()
        self._sequence += 1
        own_news = News(
            self._health.take_unreported(),
            self._budget.take_unreported(),
            self._limits.take_unreported(),
        )
        self._pass_on(own_news, *ReportKind)
        news = self._news_by_kind.pop(kind, News())
        seconds, scope = ORIGINS_BY_KIND[kind]
        crashes, sound = self._quarantine.take_due(scope)
        self._due_rows = self._news.take_due(scope)
        own = replace(
            self._own_report(),
            sequence=self._sequence,
            kind=kind,
            stamp=self._clock.seconds(),
            failures=news.failures,
            resends=news.resends,
            origins=self._origins.recent(seconds, scope),
            crashes=crashes,
            sound=sound,
            limits=self._limits.take_due(scope),
            sends=news.sends,
            unavailable=self._availability.take_due(scope),
        )
        if kind is ReportKind.MEMBER:
            self._send_to(own, self._contact)
        elif kind is ReportKind.GROUP:
            self._send_group_report(own)
        else:
            self._send_digests(own)

    def _send_to(self, report: Report, instance: str) -> None:
        peer = self._peers_by_instance.get(instance)
        if peer is None:
            return
        returned_at = self._returned_at.get(instance, float("-inf"))
        returned = self._clock.seconds() - returned_at <= RETURN_SECONDS
        if returned:
            report = replace(
                report,
                crashes=self._quarantine.everything(),
                limits=self._limits.everything(),
            )
        if returned and report.kind is not ReportKind.MEMBER:
            report = replace(report, origins=self._origins.everything())
        rows = self._due_rows
        told_at = self._told_at.get(instance, float("-inf"))
        if returned and self._clock.seconds() - told_at >= RETURN_SECONDS / 6:
            # Not with each report: after a change of the contact all have returned.
            self._told_at[instance] = self._clock.seconds()
            started_at = self._started_at.get(instance, float("-inf"))
            started = self._clock.seconds() - started_at <= STARTED_SECONDS
            rows = self._news.everything(started=started)
        if rows:
            # Before the report, whose proof of the store may rely on a change in them.
            news = NewsDatagram(self._instance, report.run, int(report.kind), rows)
            self._send_report(news, peer.address)
        self._send_report(report, peer.address)

    def _send_group_report(self, own: Report) -> None:
        members = [report for _, report in self._members.values()]
        names = [each.instance for each in members]
        queues = self._remote_queues.fresh_by_instance()
        merged = merge_queues([self._own_queues(own), *queues_of(queues, names)])
        report = replace(
            own,
            covers=1 + len(members),
            work=work_from(self._loads.sum_with(names)),
            usage=self._usage.group_totals(),
            waiting=waiting_from(merged, self._clock.seconds()),
            changing=sorted({*own.changing, *changing_in(members)}),
        )
        for group in self._groups.names():
            if group == self._own_group:
                continue
            heard_at, known = self._contacts.get(group, (float("-inf"), None))
            if self._clock.seconds() - heard_at <= CONTACT_SILENCE_SECONDS:
                self._send_to(report, known.instance)
                continue
            for candidate in self._groups.ranking(group)[:CANDIDATES_PER_GROUP]:
                self._send_to(report, candidate)

    def _send_digests(self, own: Report) -> None:
        members = [report for _, report in self._members.values()]
        oldest = self._clock.seconds() - CONTACT_SILENCE_SECONDS
        others = [
            report for heard_at, report in self._contacts.values() if heard_at >= oldest
        ]
        queues = self._remote_queues.fresh_by_instance()
        changing = sorted({*own.changing, *changing_in([*members, *others])})
        covers = 1 + len(members) + sum(each.covers for each in others)
        now = self._clock.seconds()
        store = self._follower.proof()
        own_queues = self._own_queues(own)
        own_news_by_member, self._news_by_member = self._news_by_member, {}
        for name in self._ranking:
            if name == self._instance:
                continue
            rest = queues_of(queues, [each for each in queues if each != name])
            merged = merge_queues([own_queues, *rest])
            own_news = own_news_by_member.get(name, News())
            digest = replace(
                own,
                covers=covers - (name in self._members),
                work=work_from(self._loads.sum_without(name)),
                usage=self._usage.totals_without(name),
                waiting=waiting_from(merged, now),
                changing=changing,
                failures=without(own.failures, own_news.failures),
                resends=without(own.resends, own_news.resends),
                sends=without(own.sends, own_news.sends),
                echo=self._echo(name),
                store=store,
            )
            self._send_to(digest, name)

    def _echo(self, member: str) -> tuple[int, float] | None:
        """Return the run and the stamp of a member's last report."""
        if member not in self._members:
            return None
        _, report = self._members[member]
        return report.run, report.stamp

    def _own_queues(self, own: Report) -> dict[str, QueueSummary]:
        return own.queues_by_service(self._clock.seconds())
