"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import itertools
import json
from collections.abc import Callable
from dataclasses import dataclass

from .http import Answer, Request, serve

JSON = {"Content-Type": "application/json"}
LEASE_CHECK_SECONDS = 0.02


@dataclass
class Item:
    """A key as it was last written."""

    value: bytes
    revision: int
    create_revision: int
    lease: int


@dataclass
class Lease:
    ttl: float
    ends_at: float


class Store:
    """A linearizable store with leases, watches and conditional writes.

    ``delay_of`` gets each write's body and returns ``None`` to answer it at once, or
    the seconds after which it is carried out without an answer.
    """

    def __init__(self, record: Callable[[str], None]) -> None:
        self._record = record
        self._items: dict[str, Item] = {}
        self._leases: dict[int, Lease] = {}
        self._lease_ids = itertools.count(77_001)
        self._history: list[dict] = []
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task] = set()
        self.revision = 1
        self.writes = 0
        self.unanswered = 0
        self.delay_of: Callable[[dict], float | None] = lambda body: None

    async def start(self, host: str) -> str:
        """Listen and return the store's address."""
        self._server, port = await serve(host, self._answer)
        self._keep(self._expire())
        return f"{host}:{port}"

    def _keep(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def put(self, key: str, value: bytes) -> int:
        """Write a key as the operator or a replica does."""
        return await self._apply([{"key": key, "value": value}], [])

    async def delete(self, key: str) -> None:
        """Remove a key."""
        await self._apply([], [key])

    def keys(self, prefix: str) -> list[str]:
        """Return the keys that are there."""
        return sorted(key for key in self._items if key.startswith(prefix))

    async def _apply(self, writes: list[dict], deletes: list[str]) -> int:
        self.revision += 1
        for write in writes:
            known = self._items.get(write["key"])
            created = known.create_revision if known else self.revision
            lease = write.get("lease", 0)
            item = Item(write["value"], self.revision, created, lease)
            self._items[write["key"]] = item
            self._history.append(self._item(write["key"], item))
        for key in deletes:
            if self._items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "removed": True}
                self._history.append(event)
        async with self._changed:
            self._changed.notify_all()
        return self.revision

    def _item(self, key: str, item: Item) -> dict:
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "createRev": item.create_revision,
            "lease": item.lease,
        }

    async def _answer(self, request: Request) -> Answer | None:
        path, query = request.path, request.query
        if path == "/v1/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return Answer(404, JSON, b"{}")
            return self._json(self._item(query["key"], item))
        if path == "/v1/kv-range":
            keys = self.keys(query.get("prefix", ""))
            items = [self._item(key, self._items[key]) for key in keys]
            return self._json({"items": items, "truncated": False})
        if path == "/v1/kv-watch":
            return await self._watch(query)
        self.writes += 1
        body = json.loads(request.body) if request.body else {}
        if path == "/v1/kv-txn":
            delay = self.delay_of(body)
            if delay is None:
                return await self._transact(body)
            self.unanswered += 1
            self._keep(self._transact_late(body, delay))
            await asyncio.sleep(3600)
        if path == "/v1/kv-lease":
            lease = next(self._lease_ids)
            ttl = body["ttlMs"] / 1000
            self._leases[lease] = Lease(ttl, self._now() + ttl)
            return self._json({"lease": lease, "ttlMs": body["ttlMs"]})
        number = int(path.rpartition("/")[2])
        if number not in self._leases:
            return Answer(404, JSON, b"{}")
        if path.startswith("/v1/kv-keep/"):
            lease = self._leases[number]
            lease.ends_at = self._now() + lease.ttl
            return self._json({"ttlMs": round(lease.ttl * 1000)})
        self._leases[number].ends_at = 0.0
        return self._json({})

    async def _transact_late(self, body: dict, delay: float) -> None:
        await asyncio.sleep(delay)
        answer = await self._transact(body)
        keys = [each["key"] for each in body["writes"]]
        self._record(f"store: late write of {keys} is carried out: {answer.status}")

    async def _transact(self, body: dict) -> Answer:
        rows = {each["key"]: each["revision"] for each in body["expected"]}
        actual = {key: self._items.get(key) for key in rows}
        if any((item.revision if item else 0) != rows[k] for k, item in actual.items()):
            items = [self._item(k, item) for k, item in actual.items() if item]
            return Answer(412, JSON, json.dumps({"items": items}).encode())
        leases = {each.get("lease") or 0 for each in body["writes"]} - {0}
        if leases - set(self._leases):
            return Answer(404, JSON, b"{}")
        writes = [
            {**each, "value": base64.b64decode(each["value"])}
            for each in body["writes"]
        ]
        return self._json({"revision": await self._apply(writes, body["deletes"])})

    async def _watch(self, query: dict[str, str]) -> Answer:
        after, prefix = int(query["after"]), query.get("prefix", "")
        ends_at = self._now() + int(query["waitMs"]) / 1000
        while True:
            events = [
                each
                for each in self._history
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left = ends_at - self._now()
            if events or left <= 0:
                return self._json({"events": events})
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    pass

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_SECONDS)
            now = self._now()
            ended = {n for n, each in self._leases.items() if each.ends_at <= now}
            for number in ended:
                del self._leases[number]
            keys = [key for key, item in self._items.items() if item.lease in ended]
            if keys:
                self._record(f"store: leases of {keys} have ended")
                await self._apply([], keys)

    def _json(self, body: dict) -> Answer:
        body = {**body, "storeRevision": self.revision}
        return Answer(200, JSON, json.dumps(body).encode())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
