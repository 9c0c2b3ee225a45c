"""Trials of quarantined requests by new software, one for each request and fleet."""

from collections.abc import Callable, Sequence

from twisted.internet.defer import Deferred

from ..protocol.quarantine import QuarantineEntry
from .backends import Backends, BackendServer
from .crash_quarantine import CrashQuarantine

PREFILL = "prefill"
"""Stage of engines that a trial is not sent to, as they do not answer callers."""


class QuarantineTrials:
    """Decides which refused call is sent to a server of a new software version.

    A version is new to a key if its entry in the store does not list it. The call that
    meets a new version is refused as before, and its instance claims the trial in the
    entry by compare-and-swap; so one instance has it. Its next call with the key may be
    sent to one server of the version. An instance that ends before has used up the
    trial: it is never made twice. If it fails, no further version has one, as each
    would end one more server with all that it runs, however fast versions follow.

    Parameters
    ----------
    entry : callable
        Returns the entry of a key, or ``None``.
    claim : callable
        Claims the trial of a key by a version; returns ``None`` if that can't be done
        now, and otherwise a Deferred that tells whether this instance has it.
    """

    def __init__(
        self,
        quarantine: CrashQuarantine,
        backends: Backends,
        entry: Callable[[int], QuarantineEntry | None],
        claim: "Callable[[int, str], Deferred[bool] | None]",
    ) -> None:
        self._quarantine = quarantine
        self._backends = backends
        self._entry = entry
        self._claim = claim
        self._claiming: set[int] = set()
        self._version_by_key: dict[int, str] = {}

    def version(self, keys: Sequence[int], service: str) -> str | None:
        """Return the software version that may try a refused call, or ``None``.

        All keys that the call is refused for must have their trial here.
        """
        refused = self._quarantine.refused_keys(keys)
        versions = {self._version_by_key.get(key) for key in refused}
        if len(versions) != 1:
            return None
        (version,) = versions
        return version if version in self._serving(service) else None

    def claim(self, keys: Sequence[int], service: str) -> None:
        """Claim the trial of one of the keys that a call is refused for.

        The others follow when the next such call is refused, in the order of the keys:
        instances that claim the same keys don't each get one of them.
        """
        serving = self._serving(service)
        for key in sorted(self._quarantine.refused_keys(keys)):
            entry = self._entry(key)
            if entry is None or entry.service != service or key in self._claiming:
                return
            held = self._version_by_key.get(key)
            if held in serving:
                continue
            if entry.trial_claimed and held is None:
                return
            new = sorted(serving - set(entry.software_versions))
            claimed = self._claim(key, new[0]) if new else None
            if claimed is not None:
                self._claiming.add(key)
                claimed.addCallback(self._claimed, key, new[0])
            return

    def begin(self, keys: Sequence[int], server: BackendServer) -> bool:
        """Begin the trial of a call at a server; return whether it may be sent."""
        if self.version(keys, server.service) != server.software_version:
            return False
        for key in self._quarantine.refused_keys(keys):
            del self._version_by_key[key]
        return True

    def _claimed(self, claimed: bool, key: int, version: str) -> None:
        self._claiming.discard(key)
        if claimed:
            self._version_by_key[key] = version

    def _serving(self, service: str) -> set[str]:
        return {
            each.software_version
            for each in self._backends.serving(service)
            if each.stage != PREFILL
        }
