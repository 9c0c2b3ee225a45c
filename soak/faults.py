"""Faults that the soak test injects from outside the processes."""

import signal
from collections.abc import Callable
from random import Random

from pomeloglade_platform_standin.backend import BackendFaults, StoreBreak
from pomeloglade_platform_standin.deployment import REVOKE_SECONDS
from pomeloglade_platform_standin.store import StoreFaults
from pomeloglade_platform_standin.wrong_rests import WrongRest

from .callers import (
    CRASHING_LAST_PART,
    CRASHING_PART,
    CRASHING_TARGET,
    STREAM_WEIGHTS,
    Callers,
)
from .fleet import ZONES, Fleet, PlannedStop
from .proxy import LinkMode, Proxy
from .slow_readers import SlowReaders
from .start_faults import StartFaults

MAX_FAULT_SECONDS = 4.0
STORE_CUT_SECONDS = REVOKE_SECONDS + 3.0
"""Longer than the time in which a revoked key must stop working."""

ALL_LIMITED_FRACTION = 0.7
DRILL_SECONDS = 0.5
"""How long the store is away in a drill."""

COLD_SECONDS = 6.0
LIMIT_SECONDS = 8.0
SERVER_LIMIT = 2.5
"""For how long servers name a limit, and the limit in requests a second."""

SLOW_SECONDS = 6.0
SLOW_PHASE_SECONDS = 0.6
SLOW_PACE = 250
"""Servers that share their machines are slow for such a time, and so much."""

WRONG_SECONDS = 6.0
WRONG_PHASE_SECONDS = 0.5

STOP_SECONDS = 5.0
STOP_PACE = 5000
"""For how long servers are slow around a planned stop, and how much: a plain call takes
over a second then."""

SLOW_READERS_SECONDS = 4.0

CUT_SECONDS = 8.0
CUT_MODES = (LinkMode.SILENCE, LinkMode.RESET, LinkMode.REFUSE)
ZONE_CUT_FRACTION = 0.5

ZONE_OUT_OF_USE = "zone out of use"
SMALLER_ZONE = "zone-b"
"""The zone with one of the three plain servers. Beside other faults, only this one is
taken out of use: one that replaces the server left by the other would leave none, and
the checks compare how well instances serve."""

RELEASES = 4
RELEASE_INTERVAL_SECONDS = 3.5
KILL_AFTER_RELEASE_SECONDS = 1.0
"""A version serves for a while before all instances are killed, so that there are
streams of it and of the one before. Instances are back within two seconds."""

EVACUATION_SECONDS = 8.0
"""Three seconds longer than the time within which requests to the zone must end, and
shorter than the recovery after the last fault."""

LINK_FAULTS = (LinkMode.DELAY, LinkMode.SILENCE, LinkMode.ONE_WAY, LinkMode.RESET)


class FaultInjector:
    """Injects random faults and ends each after its duration.

    ``injected`` has a line with the time and details of every fault. Evacuations are
    never chosen: they come on top, so that the other faults of a seed are the same as
    without them.
    """

    def __init__(self, fleet: Fleet, callers: Callers, random: Random) -> None:
        self._fleet = fleet
        self._callers = callers
        self._random = random
        self._store_holders = 0
        self.injected: list[str] = []
        self.inject_by_name = {
            "store": self._fail_store,
            "store compaction": self._compact_store,
            "store drill": self._drill_store,
            "store link": self._break_store_link,
            "front link": self._break_front_link,
            "backend link": self._break_backend_link,
            "backend answers": self._fail_backend,
            "backend crash": self._crash_backend,
            "backend replaced": self._replace_backend,
            "pause": self._pause,
            "kill": self._kill,
            "restart": self._restart,
            "kill all": self._kill_all,
            "publish": self._publish,
            "revoke": self._revoke,
            "revoke during store cut": self._revoke_during_store_cut,
            "endless answers": self._flood_answers,
            "server limits": self._name_limits,
            "cut from servers": self._cut_from_servers,
            "crashing request": self._send_crashing_requests,
            "crashing part": self._send_crashing_parts,
        }
        # In the order that gives each seed its faults.
        self._random_names = sorted(self.inject_by_name)
        # Further faults are injected on request only, or seeds would inject others.
        self.inject_by_name["crashing last part"] = self._send_crashing_last_parts
        self.inject_by_name["slow servers"] = self._slow_servers
        self.inject_by_name["cold servers"] = self._cool_down
        self.inject_by_name["releases and kills"] = self._release_and_kill
        self.inject_by_name["streams go on wrongly"] = self._go_on_wrongly
        self.inject_by_name["planned stop"] = self._stop_slow_work
        self.inject_by_name["slow readers"] = self._read_slowly
        self.inject_by_name["starts"] = StartFaults(fleet, random).inject
        self.inject_by_name[ZONE_OUT_OF_USE] = self._evacuate_zone

    def inject(self, name: str | None = None) -> None:
        """Start the fault ``name``, or one randomly chosen."""
        name = name or self._random.choice(self._random_names)
        if name != ZONE_OUT_OF_USE:
            self._fleet.ledger.faults.append(self._fleet.reactor.seconds())
        detail = self.inject_by_name[name](self._random.uniform(0.3, MAX_FAULT_SECONDS))
        self.injected.append(f"{self._fleet.reactor.seconds():.2f} {name}: {detail}")

    def evacuate_beside_others(self) -> None:
        """Take ``SMALLER_ZONE`` out of use without a draw from the seed's generator."""
        detail = self._evacuate(SMALLER_ZONE)
        now = self._fleet.reactor.seconds()
        self.injected.append(f"{now:.2f} {ZONE_OUT_OF_USE}: {detail}")

    def heal(self) -> None:
        """End all lasting faults of links and stand-ins; resume paused instances."""
        fleet = self._fleet
        fleet.store.faults = StoreFaults()
        for cut in fleet.cuts:
            fleet.end_cut(cut)
        for instance in fleet.instances:
            instance.store_proxy.set_mode(LinkMode.PASS)
            instance.front_proxy.set_mode(LinkMode.PASS)
            if instance.paused:
                instance.signal(signal.SIGCONT)
        for backend, proxy in fleet.backend_proxies.items():
            proxy.set_mode(LinkMode.PASS)
            backend.faults = BackendFaults()
            backend.name_limit(None)
            fleet.cool_down(backend, 0.0)

    def _break_store(self, seconds: float, instance: str = "") -> None:
        """Record that an instance, or all, lack the store for ``seconds`` from now."""
        now = self._fleet.reactor.seconds()
        store_break = StoreBreak(now, now + seconds, instance)
        self._fleet.ledger.store_breaks.append(store_break)

    def _call_later(
        self, seconds: float, call: Callable[..., object], *arguments: object
    ) -> None:
        self._fleet.reactor.callLater(seconds, call, *arguments)

    def _fail_store(self, seconds: float) -> str:
        faults = self._random.choice(
            (
                StoreFaults(down=True),
                StoreFaults(silent=True),
                StoreFaults(slow_seconds=0.3),
                StoreFaults(lose_answers=True),
            )
        )
        self._fleet.store.faults = faults
        self._break_store(seconds)
        self._call_later(seconds, setattr, self._fleet.store, "faults", StoreFaults())
        return f"{faults} for {seconds:.1f} s"

    def _compact_store(self, seconds: float) -> str:
        self._fleet.store.compact()
        return ""

    def _drill_store(self, seconds: float) -> str:
        """Let the store be away for a moment and return from an older copy."""
        fleet = self._fleet
        copy = fleet.store.key_values.copy()

        def go_away() -> None:
            fleet.store.faults = StoreFaults(down=True)
            self._break_store(DRILL_SECONDS)
            self._call_later(DRILL_SECONDS, come_back)

        def come_back() -> None:
            fleet.restore_store(copy)
            fleet.store.faults = StoreFaults()

        self._call_later(seconds, go_away)
        return f"from a copy {seconds + DRILL_SECONDS:.1f} s old"

    def _break_link(self, proxy: Proxy, seconds: float) -> str:
        mode = self._random.choice(LINK_FAULTS)
        proxy.set_mode(mode)
        self._call_later(seconds, proxy.set_mode, LinkMode.PASS)
        return f"{mode.value} for {seconds:.1f} s"

    def _break_store_link(self, seconds: float) -> str:
        instance = self._random.choice(self._fleet.instances)
        self._break_store(seconds, instance.name)
        return f"{instance.name} {self._break_link(instance.store_proxy, seconds)}"

    def _break_front_link(self, seconds: float) -> str:
        instance = self._random.choice(self._fleet.instances)
        now = self._fleet.reactor.seconds()
        instance.disturbed_at += (now, now + seconds)
        return f"{instance.name} {self._break_link(instance.front_proxy, seconds)}"

    def _break_backend_link(self, seconds: float) -> str:
        backend = self._random.choice(self._fleet.backends)
        proxy = self._fleet.backend_proxies[backend]
        return f"{backend.id} {self._break_link(proxy, seconds)}"

    def _fail_backend(self, seconds: float) -> str:
        backend = self._random.choice(self._fleet.backends)
        backend.faults = self._random.choice(
            (
                BackendFaults(failing=True),
                BackendFaults(losing=True),
                BackendFaults(full=True),
                BackendFaults(truncating=True),
            )
        )
        self._call_later(seconds, setattr, backend, "faults", BackendFaults())
        return f"{backend.id} {backend.faults} for {seconds:.1f} s"

    def _flood_answers(self, seconds: float) -> str:
        """Let all servers send without end, as after a broken release."""
        faults = BackendFaults(
            flooding=True, unframed=self._random.choice((True, False))
        )
        for backend in self._fleet.backends:
            backend.faults = faults
            self._call_later(seconds, setattr, backend, "faults", BackendFaults())
        return f"{faults} for {seconds:.1f} s"

    def _slow_servers(self, seconds: float) -> str:
        """Let a third of each service's servers be slow, others in each phase."""
        backends = self._fleet.backends
        phases = round(SLOW_SECONDS / SLOW_PHASE_SECONDS)
        for phase in range(phases):
            for number, backend in enumerate(backends):
                faults = BackendFaults(
                    pace=SLOW_PACE if number % 3 == phase % 3 else 100
                )
                begin = phase * SLOW_PHASE_SECONDS
                self._call_later(begin, setattr, backend, "faults", faults)
        for backend in backends:
            self._call_later(SLOW_SECONDS, setattr, backend, "faults", BackendFaults())
        return f"pace {SLOW_PACE} in {phases} phases"

    def _go_on_wrongly(self, seconds: float) -> str:
        """Let a third of the engines break streams off, others in each phase.

        The others go on wrongly with the streams.
        """
        engines = [each for each in self._fleet.backends if each.stage == "decode"]
        breaking = BackendFaults(breaking=True)
        wrong = BackendFaults(wrong_rests=tuple(WrongRest))
        phases = round(WRONG_SECONDS / WRONG_PHASE_SECONDS)
        for phase in range(phases):
            begin = phase * WRONG_PHASE_SECONDS
            for number, engine in enumerate(engines):
                faults = breaking if number % 3 == phase % 3 else wrong
                self._call_later(begin, setattr, engine, "faults", faults)
        for engine in engines:
            self._call_later(WRONG_SECONDS, setattr, engine, "faults", BackendFaults())
        self._callers.route_weights = STREAM_WEIGHTS
        return f"{[each.id for each in engines]} in {phases} phases"

    def _read_slowly(self, seconds: float) -> str:
        """Let callers of one instance read large answers slowly or not at all."""
        instance = self._random.choice(self._fleet.instances)
        SlowReaders(self._fleet, self._callers, instance).start(SLOW_READERS_SECONDS)
        return f"{instance.name} for {SLOW_READERS_SECONDS} s"

    def _name_limits(self, seconds: float) -> str:
        """Let one server, or all of its service, name a limit."""
        first = self._random.choice(self._fleet.backends)
        limited = [first]
        if self._random.random() < ALL_LIMITED_FRACTION:
            limited = [e for e in self._fleet.backends if e.service == first.service]
        for backend in limited:
            backend.name_limit(SERVER_LIMIT)
            self._call_later(LIMIT_SECONDS, backend.name_limit, None)
        return f"{[each.id for each in limited]} for {LIMIT_SECONDS} s"

    def _cool_down(self, seconds: float) -> str:
        """Let one server, or all of its service, become cold, as after a release."""
        first = self._random.choice(self._fleet.backends)
        cold = [first]
        if self._random.random() < ALL_LIMITED_FRACTION:
            cold = [e for e in self._fleet.backends if e.service == first.service]
        for backend in cold:
            self._fleet.cool_down(backend, COLD_SECONDS)
        return f"{[each.id for each in cold]} for {COLD_SECONDS} s"

    def _cut_from_servers(self, seconds: float) -> str:
        """Cut half of the instances, or a zone, from all servers."""
        fleet = self._fleet
        if self._random.random() < ZONE_CUT_FRACTION:
            zone = self._random.choice(fleet.instances).zone
            cut_off = [each for each in fleet.instances if each.zone == zone]
        else:
            cut_off = self._random.sample(fleet.instances, len(fleet.instances) // 2)
        cut = fleet.cut_from_servers(cut_off, self._random.choice(CUT_MODES))
        self._call_later(CUT_SECONDS, fleet.end_cut, cut)
        return f"{[each.name for each in cut_off]} {cut.mode.value}"

    def _evacuate_zone(self, seconds: float) -> str:
        """Take either zone out of use."""
        return self._evacuate(self._random.choice(ZONES))

    def _evacuate(self, zone: str) -> str:
        evacuation = self._fleet.evacuate(zone)
        self._call_later(EVACUATION_SECONDS, self._fleet.end_evacuation, evacuation)
        return f"{zone} for {EVACUATION_SECONDS} s"

    def _crash_backend(self, seconds: float) -> str:
        backend = self._random.choice(self._fleet.backends)
        old = backend.id
        self._fleet.crash(backend)
        return f"{old} comes back as {backend.id}"

    def _replace_backend(self, seconds: float) -> str:
        backend = self._random.choice(self._fleet.backends)
        self._fleet.replace(backend)
        return backend.id

    def _send_crashing_requests(self, seconds: float) -> str:
        """Let a request come again and again that crashes what runs it."""
        self._callers.start_crashing(CRASHING_TARGET)
        return CRASHING_TARGET

    def _send_crashing_parts(self, seconds: float) -> str:
        """Let requests come, no two alike, with a part that crashes what runs them."""
        self._callers.start_crashing(CRASHING_PART)
        return CRASHING_PART

    def _send_crashing_last_parts(self, seconds: float) -> str:
        """Let requests come whose prompts end with a part that crashes engines."""
        self._callers.start_crashing(CRASHING_LAST_PART)
        return CRASHING_LAST_PART

    def _pause(self, seconds: float) -> str:
        instance = self._random.choice(self._fleet.instances)
        instance.signal(signal.SIGSTOP)
        self._call_later(seconds, instance.signal, signal.SIGCONT)
        return f"{instance.name} for {seconds:.1f} s"

    def _kill(self, seconds: float) -> str:
        instance = self._random.choice(self._fleet.instances)
        instance.signal(signal.SIGKILL)
        return instance.name

    def _restart(self, seconds: float) -> str:
        instance = self._random.choice(self._fleet.instances)
        instance.signal(signal.SIGTERM)
        return instance.name

    def _stop_slow_work(self, seconds: float) -> str:
        """Stop an instance while servers work on its requests to the end of the grace.

        The work is no fault: it ends within the requests' time.
        """
        instance = self._random.choice(self._fleet.instances)
        for backend in self._fleet.backends:
            backend.faults = BackendFaults(pace=STOP_PACE)
            self._call_later(STOP_SECONDS, setattr, backend, "faults", BackendFaults())
        at = self._fleet.ledger.faults[-1]
        self._fleet.planned_stops.append(PlannedStop(instance, at))
        instance.signal(signal.SIGTERM)
        return instance.name

    def _kill_all(self, seconds: float) -> str:
        for instance in self._fleet.instances:
            instance.signal(signal.SIGKILL)
        return ""

    def _release_and_kill(self, seconds: float) -> str:
        """Release new software of the engines and kill all instances, in turns.

        Every other release returns to the first version. Callers whose streams were
        broken off take them up as soon as they reach an instance.
        """
        self._callers.persistent = True
        for number in range(RELEASES):
            begin = number * RELEASE_INTERVAL_SECONDS
            version = f"v{number + 3}" if number % 2 else "v1"
            self._call_later(begin, self._fleet.release, version)
            kill_at = begin + self._random.uniform(0.0, KILL_AFTER_RELEASE_SECONDS)
            self._call_later(kill_at, self._kill_all, seconds)
        return f"{RELEASES} times"

    def _publish(self, seconds: float) -> str:
        self._fleet.publish()
        return f"version {self._fleet.version}"

    def _revoke(self, seconds: float) -> str:
        account = self._random.choice(("club", "league"))
        self._fleet.revoke(account)
        return account

    def _revoke_during_store_cut(self, seconds: float) -> str:
        """Revoke a key while an instance is cut off from the store."""
        instance = self._random.choice(self._fleet.instances)
        mode = self._random.choice((LinkMode.SILENCE, LinkMode.RESET))
        instance.store_proxy.set_mode(mode)
        self._break_store(STORE_CUT_SECONDS, instance.name)
        self._call_later(
            STORE_CUT_SECONDS, instance.store_proxy.set_mode, LinkMode.PASS
        )
        self._call_later(seconds / 2, self._revoke, seconds)
        return f"{instance.name} {mode.value} for {STORE_CUT_SECONDS:.1f} s"
