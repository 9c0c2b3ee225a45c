"""The faults that a soak injects from outside the processes."""

import signal
from collections.abc import Callable
from random import Random

from pomeloglade_platform_standin.backend import BackendFaults
from pomeloglade_platform_standin.deployment import REVOKE_SECONDS
from pomeloglade_platform_standin.store import StoreFaults

from .fleet import Fleet
from .proxy import Link, Proxy

MOST_SECONDS = 4.0
LONG_CUT_SECONDS = REVOKE_SECONDS + 3.0
BROKEN_LINKS = (Link.DELAY, Link.SILENCE, Link.ONE_WAY, Link.RESET)


class Faults:
    """Draws faults from a seed and takes each back after its time.

    Every fault that is drawn is appended to ``told`` with its instant.
    """

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self._store_holders = 0
        self.told: list[str] = []
        self.draw_by_name = {
            "store": self._store,
            "store forgets": self._store_forgets,
            "store link": self._store_link,
            "front link": self._front_link,
            "backend link": self._backend_link,
            "backend answers": self._backend_answers,
            "backend crash": self._backend_crash,
            "backend replaced": self._backend_replaced,
            "pause": self._pause,
            "kill": self._kill,
            "restart": self._restart,
            "kill all": self._kill_all,
            "publish": self._publish,
            "revoke": self._revoke,
            "revoke behind a cut": self._revoke_behind_a_cut,
        }

    def draw(self) -> None:
        """Begin one fault."""
        name = self._random.choice(sorted(self.draw_by_name))
        detail = self.draw_by_name[name](self._random.uniform(0.3, MOST_SECONDS))
        self.told.append(f"{self._fleet.reactor.seconds():.2f} {name}: {detail}")

    def heal(self) -> None:
        """Take back all that would last."""
        fleet = self._fleet
        fleet.store.faults = StoreFaults()
        for instance in fleet.instances:
            instance.to_store.set_link(Link.PASS)
            instance.to_front.set_link(Link.PASS)
            if instance.frozen:
                instance.signal(signal.SIGCONT)
        for backend, proxy in fleet.backend_proxies.items():
            proxy.set_link(Link.PASS)
            backend.faults = BackendFaults()

    def _later(
        self, seconds: float, call: Callable[..., object], *arguments: object
    ) -> None:
        self._fleet.reactor.callLater(seconds, call, *arguments)

    def _store(self, seconds: float) -> str:
        faults = self._random.choice(
            (
                StoreFaults(down=True),
                StoreFaults(silent=True),
                StoreFaults(slow_seconds=0.3),
                StoreFaults(lose_answers=True),
            )
        )
        self._fleet.store.faults = faults
        self._later(seconds, setattr, self._fleet.store, "faults", StoreFaults())
        return f"{faults} for {seconds:.1f} s"

    def _store_forgets(self, seconds: float) -> str:
        self._fleet.store.forget_history()
        return ""

    def _break(self, proxy: Proxy, seconds: float) -> str:
        link = self._random.choice(BROKEN_LINKS)
        proxy.set_link(link)
        self._later(seconds, proxy.set_link, Link.PASS)
        return f"{link.value} for {seconds:.1f} s"

    def _store_link(self, seconds: float) -> str:
        instance = self._random.choice(self._fleet.instances)
        return f"{instance.name} {self._break(instance.to_store, seconds)}"

    def _front_link(self, seconds: float) -> str:
        instance = self._random.choice(self._fleet.instances)
        now = self._fleet.reactor.seconds()
        instance.disturbed_at += (now, now + seconds)
        return f"{instance.name} {self._break(instance.to_front, seconds)}"

    def _backend_link(self, seconds: float) -> str:
        backend = self._random.choice(self._fleet.backends)
        proxy = self._fleet.backend_proxies[backend]
        return f"{backend.id} {self._break(proxy, seconds)}"

    def _backend_answers(self, seconds: float) -> str:
        backend = self._random.choice(self._fleet.backends)
        backend.faults = self._random.choice(
            (
                BackendFaults(failing=True),
                BackendFaults(losing=True),
                BackendFaults(full=True),
            )
        )
        self._later(seconds, setattr, backend, "faults", BackendFaults())
        return f"{backend.id} {backend.faults} for {seconds:.1f} s"

    def _backend_crash(self, seconds: float) -> str:
        backend = self._random.choice(self._fleet.backends)
        old = backend.id
        self._fleet.crash(backend)
        return f"{old} comes back as {backend.id}"

    def _backend_replaced(self, seconds: float) -> str:
        backend = self._random.choice(self._fleet.backends)
        self._fleet.replace(backend)
        return backend.id

    def _pause(self, seconds: float) -> str:
        instance = self._random.choice(self._fleet.instances)
        instance.signal(signal.SIGSTOP)
        self._later(seconds, instance.signal, signal.SIGCONT)
        return f"{instance.name} for {seconds:.1f} s"

    def _kill(self, seconds: float) -> str:
        instance = self._random.choice(self._fleet.instances)
        instance.signal(signal.SIGKILL)
        return instance.name

    def _restart(self, seconds: float) -> str:
        instance = self._random.choice(self._fleet.instances)
        instance.signal(signal.SIGTERM)
        return instance.name

    def _kill_all(self, seconds: float) -> str:
        for instance in self._fleet.instances:
            instance.signal(signal.SIGKILL)
        return ""

    def _publish(self, seconds: float) -> str:
        self._fleet.publish()
        return f"version {self._fleet.version}"

    def _revoke(self, seconds: float) -> str:
        account = self._random.choice(("club", "league"))
        self._fleet.revoke(account)
        return account

    def _revoke_behind_a_cut(self, seconds: float) -> str:
        """Withdraw a key while an instance can't hear of it."""
        instance = self._random.choice(self._fleet.instances)
        link = self._random.choice((Link.SILENCE, Link.RESET))
        instance.to_store.set_link(link)
        self._later(LONG_CUT_SECONDS, instance.to_store.set_link, Link.PASS)
        self._later(seconds / 2, self._revoke, seconds)
        return f"{instance.name} {link.value} for {LONG_CUT_SECONDS:.1f} s"
