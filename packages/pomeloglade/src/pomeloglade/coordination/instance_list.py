"""Polls the platform's list of live and leaving instances."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.errors import KeyValueError
from pomeloglade_coordination.json_decoding import decode_json
from pomeloglade_coordination.key_value import Entry, KeyValueStore
from pomeloglade_coordination.lasting_tasks import guarded

from ..state.instance_record import INSTANCES_PREFIX, InstanceRecord
from ..state.metrics import Metrics

POLL_SECONDS = 2.0


class InstanceList:
    """Polls the list, which lags behind the fleet, and passes it to subscribers."""

    def __init__(self, clock: Clock, store: KeyValueStore, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics
        self._subscribers: list[Callable[[tuple[InstanceRecord, ...]], None]] = []
        self._loop = LoopingCall(guarded("instance_list", self._poll))
        self._loop.clock = clock

    def subscribe(self, on_read: Callable[[tuple[InstanceRecord, ...]], None]) -> None:
        """Call ``on_read`` with the entries after each successful read."""
        self._subscribers.append(on_read)

    def start(self) -> None:
        """Read the list now, and then every ``POLL_SECONDS``."""
        self._loop.start(POLL_SECONDS)

    def stop(self) -> None:
        """Stop polling."""
        if self._loop.running:
            self._loop.stop()

    async def _read_entries(self) -> None:
        try:
            entries = await self._store.list(INSTANCES_PREFIX)
        except KeyValueError:
            self._metrics.event("instance_list", "unavailable")
            return
        records = tuple(each for each in map(self._decode, entries) if each)
        for on_read in self._subscribers:
            on_read(records)

    def _poll(self) -> "Deferred[None]":
        return Deferred.fromCoroutine(self._read_entries())

    def _decode(self, entry: Entry) -> InstanceRecord | None:
        try:
            return decode_json(entry.value, InstanceRecord)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self._metrics.event("instance_list", "bad_entry")
            return None
