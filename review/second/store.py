"""A stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
from collections.abc import Callable
from dataclasses import dataclass

from web import Request, Response, Server

MAX_PAGE_ITEMS = 500
FIRST_REVISION = 100


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class _Lease:
    seconds: float
    ends_at: float


class Store:
    """Keys with revisions, leases and watches over HTTP.

    Attributes
    ----------
    on_watch : callable
        Called with the milliseconds of each watch that begins to wait.
    """

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.on_watch: Callable[[int], None] = lambda milliseconds: None
        self._items: dict[str, _Item] = {}
        self._events: list[dict[str, object]] = []
        self._revision = FIRST_REVISION
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()

    async def expire_leases(self) -> None:
        """Remove the keys of ended leases, until cancelled."""
        while True:
            now = asyncio.get_running_loop().time()
            for lease, each in list(self._leases.items()):
                if each.ends_at <= now:
                    self._end_lease(lease)
            await asyncio.sleep(0.02)

    def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as the operator or a server does, and return its revision."""
        self._revision += 1
        known = self._items.get(key)
        created = known.created if known else self._revision
        item = _Item(value, self._revision, created, lease)
        self._items[key] = item
        self._add_event(self._as_json(key, item))
        return self._revision

    def remove(self, key: str) -> None:
        """Remove a key if it is there."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._add_event({"key": key, "revision": self._revision, "removed": True})

    def _add_event(self, event: dict[str, object]) -> None:
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key, item in list(self._items.items()):
            if item.lease == lease:
                self.remove(key)

    @staticmethod
    def _as_json(key: str, item: _Item) -> dict[str, object]:
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "createRev": item.created,
            "lease": item.lease,
        }

    async def _handle(self, request: Request) -> Response:
        status, body = await self._answer(request)
        headers = {"Content-Type": "application/json"}
        return Response(status, headers, json.dumps(body).encode())

    async def _answer(self, request: Request) -> tuple[int, object]:
        name, _, rest = request.path.removeprefix("/v1/").partition("/")
        query = request.query
        if name == "kv-key":
            item = self._items.get(query["key"])
            return (404, {}) if item is None else (200, self._as_json(query["key"], item))
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-watch":
            return 200, await self._watch(query)
        if name == "kv-txn":
            return self._transact(json.loads(request.body))
        if name == "kv-lease":
            seconds = json.loads(request.body)["ttlMs"] / 1000
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self._leases[lease] = _Lease(seconds, self._now() + seconds)
            return 200, {"lease": lease, "ttlMs": round(seconds * 1000)}
        lease = self._leases.get(int(rest))
        if lease is None:
            return 404, {}
        if name == "kv-keep":
            lease.ends_at = self._now() + lease.seconds
        elif name == "kv-lease-end":
            self._end_lease(int(rest))
        else:
            return 400, {}
        return 200, {}

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _range(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        page = keys[:MAX_PAGE_ITEMS]
        return {
            "items": [self._as_json(key, self._items[key]) for key in page],
            "truncated": len(page) < len(keys),
            "storeRevision": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query["prefix"], int(query["after"])
        milliseconds = int(query["waitMs"])
        ends_at = self._now() + milliseconds / 1000
        self.on_watch(milliseconds)
        while True:
            events = [
                each
                for each in self._events
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left = ends_at - self._now()
            if events or left <= 0:
                return {"events": events, "storeRevision": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> tuple[int, object]:
        rows = body.get("expected") or []
        writes = body.get("writes") or []
        found = {row["key"]: self._items.get(row["key"]) for row in rows}
        if any(
            row["revision"] != (found[row["key"]].revision if found[row["key"]] else 0)
            for row in rows
        ):
            items = [
                self._as_json(key, item) for key, item in found.items() if item is not None
            ]
            return 412, {"items": items}
        if any(each.get("lease") and each["lease"] not in self._leases for each in writes):
            return 404, {}
        for each in writes:
            value = base64.b64decode(each["value"])
            self.write(each["key"], value, each.get("lease") or 0)
        for key in body.get("deletes") or []:
            self.remove(key)
        return 200, {"revision": self._revision}
