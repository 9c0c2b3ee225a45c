"""Control traffic of membership and configuration."""

import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from bench.membership_model import Fleet
from pomeloglade.protocol.peer_codec import encode
from pomeloglade_coordination.configuration import ShardedConfiguration
from pomeloglade_coordination.configuration_delta import difference, digest, pieces
from pomeloglade_coordination.configuration_messages import ConfigurationDelta
from pomeloglade_coordination.key_value import MAX_VALUE_BYTES
from pomeloglade_coordination.membership import HEARTBEAT_SECONDS
from pomeloglade_coordination.membership_messages import (
    Heartbeat,
    ProbeAnswer,
    ProbeRequest,
)
from pomeloglade_coordination.peer import PeerMessage

SETTLE_SECONDS = 3.0
MEASURED_SECONDS = 5.0
SILENT_GAP_SECONDS = 0.7
CONTROL_BYTES_PER_SECOND = 4096
"""What a daemon may spend on all control traffic, by the target."""

CHANGES_PER_DAY = 3400
SECONDS_PER_DAY = 86_400
ACCOUNTS = 25_000
WIRE_BYTES_PER_FRAME = 2 * (40 + 12) + 6
"""TCP/IP headers of a segment and its acknowledgement, and a websocket header."""


@dataclass(frozen=True, slots=True)
class Size:
    """A fleet, how long a change may take, and how often that is tried."""

    name: str
    zones: tuple[int, ...]
    in_force_seconds: float
    silent_publishes: int

    @property
    def instances(self) -> int:
        """The number of daemons."""
        return sum(self.zones)


SIZES = (
    Size("6", (2, 2, 2), 3.0, 20),
    Size("35", (12, 12, 11), 3.0, 10),
    Size("390", (36, 36, 36, 36, 36, 35, 35, 35, 35, 35, 35), 7.0, 3),
)


@dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes and messages a second of one daemon, received and sent together."""

    mean_bytes: float
    most_bytes: float
    mean_messages: float
    wall_milliseconds: float


class Measure:
    """Encodes messages; equal ones only once, as they are frozen."""

    def __init__(self) -> None:
        self._size_by_message: dict[PeerMessage, int] = {}

    def __call__(self, message: PeerMessage) -> int:
        """Return the encoded bytes of a message."""
        size = self._size_by_message.get(message)
        if size is None:
            size = len(encode(message))
            if len(self._size_by_message) < 100_000:
                self._size_by_message[message] = size
        return size


def measure_traffic(fleet: Fleet, seconds: float) -> Traffic:
    """Run a fleet and return what one daemon sends and receives."""
    network = fleet.network
    for counter in (network.messages, network.bytes_in, network.bytes_out):
        counter.clear()
    network.measure = Measure()
    started = time.perf_counter()
    fleet.advance(seconds)
    wall = time.perf_counter() - started
    count = len(fleet.nodes)
    totals = [
        (network.bytes_in[node.instance] + network.bytes_out[node.instance]) / seconds
        for node in fleet.nodes
    ]
    return Traffic(
        sum(totals) / count,
        max(totals),
        2 * network.messages.total() / count / seconds,
        1000 * wall / count / seconds,
    )


def seconds_in_force(fleet: Fleet, value: bytes, limit: float) -> float:
    """Publish a value and return the seconds until it is in force everywhere."""
    revision = fleet.publish(value)
    return fleet.seconds_until(lambda: fleet.in_force(revision), 2 * limit)


def run_size(size: Size) -> int:
    """Measure one size; return the number of violated bounds."""
    fleet = Fleet(size.zones, seed=7)
    for number, node in enumerate(fleet.nodes):
        node.members.own = replace_incarnation(node.members.own, number)
    fleet.publish(accounts(200))
    fleet.advance(SETTLE_SECONDS)
    traffic = measure_traffic(fleet, MEASURED_SECONDS)
    plain = seconds_in_force(fleet, accounts(200, rate=5), size.in_force_seconds)
    for node in fleet.nodes:
        node.store.silent_watches = True
    silent = 0.0
    for rate in range(6, 6 + size.silent_publishes):
        fleet.advance(SILENT_GAP_SECONDS)
        value = accounts(200, rate=rate)
        silent = max(silent, seconds_in_force(fleet, value, size.in_force_seconds))
    violated = 0
    for name, seconds in (("change", plain), ("change, silent watches", silent)):
        violated += report(
            f"{size.name:>4} {name}", seconds, size.in_force_seconds, "s in force"
        )
    print(
        f"{size.name:>4} daemon: {traffic.mean_messages:.1f} messages/s,"
        f" mean {traffic.mean_bytes:.0f} B/s,"
        f" {traffic.wall_milliseconds:.2f} ms wall/s with the model"
    )
    frames = traffic.mean_messages * WIRE_BYTES_PER_FRAME
    report(  # the frames are not measured but reckoned, so this does not gate
        f"{size.name:>4} mean daemon with headers, reckoned",
        traffic.mean_bytes + frames,
        CONTROL_BYTES_PER_SECOND,
        "B/s",
    )
    violated += report(
        f"{size.name:>4} busiest daemon",
        traffic.most_bytes,
        CONTROL_BYTES_PER_SECOND,
        "B/s",
    )
    return violated


def replace_incarnation(member: object, number: int) -> object:
    """Return the member with an incarnation of a real start, in milliseconds."""
    return type(member)(
        member.instance,
        member.availability_zone,
        1_796_000_000_000 + number,
        f"10.0.{number // 250}.{number % 250}:7000",
    )


def report(name: str, value: float, bound: float, unit: str) -> int:
    """Print a figure beside its bound; return 1 when it is violated."""
    holds = value <= bound
    verdict = "pass" if holds else "BREAK"
    print(f"{name}: {value:.2f} {unit}, bound {bound:g} {verdict}")
    return 0 if holds else 1


def accounts(count: int, rate: int = 1000, changed: int = 3) -> bytes:
    """Return a configuration as JSON, with the rate of one client account set."""
    settings = {
        f"account-{number:05}": {
            "rate": rate if number == changed else 1000,
            "burst": 50_000,
            "weight": 1,
            "key_digests": {"main": digest(b"%d" % number).hex() * 2},
            "when_cut_off": "serve",
        }
        for number in range(count)
    }
    return json.dumps({"publish_id": digest(b"%d" % rate).hex(), **settings}).encode()


def compare_memberships() -> None:
    """Print the bytes a second of the ways to detect failures."""
    inside = len(encode(Heartbeat(1_796_000_000_000)))
    across = len(encode(Heartbeat(1_796_000_000_000, False, 2**31)))
    probe = len(encode(ProbeRequest("z10-i34", 1_796_000_000_000)))
    answer = len(encode(ProbeAnswer("z10-i34", 1_796_000_000_000, 500)))
    rate = 1 / HEARTBEAT_SECONDS
    print("ways to detect failures, B/s of one daemon in both directions")
    for size in SIZES:
        count, zone = size.instances, max(size.zones)
        contacts = 2 * (len(size.zones) - 1) if zone > 2 else count - zone
        ways: dict[str, tuple[float, float]] = {
            "full mesh": (2 * (count - 1) * rate, inside),
            "one random probe a second": (4 * rate, (probe + answer) / 2),
            "zone mesh": (2 * (zone - 1) * rate, inside),
            "zone mesh, contact": (
                2 * (zone - 1 + contacts) * rate,
                (inside * (zone - 1) + across * contacts) / (zone - 1 + contacts),
            ),
        }
        for name, (messages, each) in ways.items():
            wire = messages * (each + WIRE_BYTES_PER_FRAME)
            print(f"{size.name:>4} {name}: {messages * each:.0f}, {wire:.0f} on wire")


def compare_configurations() -> int:
    """Print what one change of 25,000 accounts costs; return violated bounds."""
    before, after = accounts(ACCOUNTS), accounts(ACCOUNTS, rate=7, changed=12_000)
    rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    splices = difference(before, after)
    delta = len(encode(ConfigurationDelta(1000, 1001, digest(after), splices)))
    shard = mean_changed_shards(before, after)
    print(f"configuration of {ACCOUNTS} accounts: {len(before)} bytes")
    for name, size in (
        ("whole snapshot", len(after)),
        ("changed shards and manifest", shard),
        ("delta", delta),
    ):
        print(f"  {name}: {size} bytes a change, {size * rate:.0f} B/s on the day")
    print(f"  one platform value holds the snapshot: {len(after) <= MAX_VALUE_BYTES}")
    return report(
        "  delta to each daemon", delta * rate, CONTROL_BYTES_PER_SECOND, "B/s"
    )


def mean_changed_shards(before: bytes, after: bytes) -> int:
    """Return the bytes a watcher reads from the platform for one change."""
    fleet = Fleet((1,))
    publisher = ShardedConfiguration(fleet.platform, random.Random(1))
    revisions: list[int] = []
    publisher.publish(before, 0).addCallback(revisions.append)
    publisher.counters.clear()
    publisher.publish(after, revisions[0]).addCallback(revisions.append)
    manifest: list[int] = []
    fleet.platform.get("configuration").addCallback(
        lambda entry: manifest.append(len(entry.value))
    )
    old = set(pieces(before, 32_000))
    fresh = sum(len(each) for each in pieces(after, 32_000) if each not in old)
    print(f"  manifest {manifest[0]} bytes, writes {publisher.counters}")
    return fresh + manifest[0]


def main(run: Callable[[Size], int] = run_size) -> int:
    """Run all sizes; return the number of violated bounds."""
    compare_memberships()
    violated = compare_configurations()
    return violated + sum(run(size) for size in SIZES)


if __name__ == "__main__":
    raise SystemExit(main())
