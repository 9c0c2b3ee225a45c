"""Benchmark of the control traffic of membership and configuration."""

import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from bench.membership_model import Fleet
from pomeloglade.protocol.peer_codec import encode
from pomeloglade_coordination.configuration import ShardedConfiguration
from pomeloglade_coordination.configuration_delta import (
    difference,
    digest,
    split_by_content,
)
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
SILENT_PUBLISH_INTERVAL_SECONDS = 0.7
CONTROL_BYTES_PER_SECOND = 4096
"""Target for all control traffic of an instance, in both directions."""

CHANGES_PER_DAY = 3400
SECONDS_PER_DAY = 86_400
ACCOUNT_COUNT = 25_000
WIRE_BYTES_PER_FRAME = 2 * (40 + 12) + 6
"""TCP/IP headers of a segment and its acknowledgement, and a websocket header."""


@dataclass(frozen=True, slots=True)
class FleetSize:
    """A fleet's zones and the bound on the time until a change is in force.

    ``silent_publishes`` changes are published while no watch gets an answer.
    """

    name: str
    zones: tuple[int, ...]
    max_seconds_until_in_force: float
    silent_publishes: int

    @property
    def instances(self) -> int:
        """The number of instances."""
        return sum(self.zones)


SIZES = (
    FleetSize("6", (2, 2, 2), 3.0, 20),
    FleetSize("35", (12, 12, 11), 3.0, 10),
    FleetSize("390", (36, 36, 36, 36, 36, 35, 35, 35, 35, 35, 35), 7.0, 3),
)


@dataclass(frozen=True, slots=True)
class Traffic:
    """Traffic and wall-clock cost of one instance, per second of virtual time.

    Messages and bytes received and sent are added up.
    """

    mean_bytes: float
    max_bytes: float
    mean_messages: float
    wall_ms: float


class MessageSizer:
    """Measures the encoded size of messages; equal ones are encoded only once."""

    def __init__(self) -> None:
        self._size_by_message: dict[PeerMessage, int] = {}

    def __call__(self, message: PeerMessage) -> int:
        """Return the size of an encoded message in bytes."""
        size = self._size_by_message.get(message)
        if size is None:
            size = len(encode(message))
            if len(self._size_by_message) < 100_000:
                self._size_by_message[message] = size
        return size


def measure_traffic(fleet: Fleet, seconds: float) -> Traffic:
    """Run a fleet and return the traffic of one instance."""
    network = fleet.network
    for counter in (network.messages, network.bytes_in, network.bytes_out):
        counter.clear()
    network.measure = MessageSizer()
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


def seconds_until_in_force(fleet: Fleet, value: bytes, limit: float) -> float:
    """Publish a value and return the seconds until all instances have adopted it."""
    revision = fleet.publish(value)
    return fleet.seconds_until(lambda: fleet.in_force(revision), 2 * limit)


def run_size(size: FleetSize) -> int:
    """Measure a fleet of one size; return the number of violated bounds."""
    fleet = Fleet(size.zones, seed=7)
    for number, node in enumerate(fleet.nodes):
        node.members.own = with_realistic_sizes(node.members.own, number)
    fleet.publish(configuration_json(200))
    fleet.advance(SETTLE_SECONDS)
    traffic = measure_traffic(fleet, MEASURED_SECONDS)
    change_seconds = seconds_until_in_force(
        fleet, configuration_json(200, rate=5), size.max_seconds_until_in_force
    )
    for node in fleet.nodes:
        node.store.silent_watches = True
    silent_seconds = 0.0
    for rate in range(6, 6 + size.silent_publishes):
        fleet.advance(SILENT_PUBLISH_INTERVAL_SECONDS)
        value = configuration_json(200, rate=rate)
        silent_seconds = max(
            silent_seconds,
            seconds_until_in_force(fleet, value, size.max_seconds_until_in_force),
        )
    violated = 0
    for name, seconds in (
        ("change", change_seconds),
        ("change, silent watches", silent_seconds),
    ):
        violated += report(
            f"{size.name:>4} {name}",
            seconds,
            size.max_seconds_until_in_force,
            "s in force",
        )
    print(
        f"{size.name:>4} daemon: {traffic.mean_messages:.1f} messages/s,"
        f" mean {traffic.mean_bytes:.0f} B/s,"
        f" {traffic.wall_ms:.2f} ms wall/s with the model"
    )
    frame_bytes = traffic.mean_messages * WIRE_BYTES_PER_FRAME
    report(  # an estimate of the headers, so it does not count as a violation
        f"{size.name:>4} mean daemon with headers, reckoned",
        traffic.mean_bytes + frame_bytes,
        CONTROL_BYTES_PER_SECOND,
        "B/s",
    )
    violated += report(
        f"{size.name:>4} busiest daemon",
        traffic.max_bytes,
        CONTROL_BYTES_PER_SECOND,
        "B/s",
    )
    return violated


def with_realistic_sizes(member: object, number: int) -> object:
    """Return the member with an incarnation and an address of realistic size."""
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


def configuration_json(count: int, rate: int = 1000, changed: int = 3) -> bytes:
    """Return a configuration as JSON; the account number ``changed`` has ``rate``."""
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


def compare_failure_detection() -> None:
    """Print the traffic of several schemes of failure detection."""
    in_zone_bytes = len(encode(Heartbeat(1_796_000_000_000)))
    cross_zone_bytes = len(encode(Heartbeat(1_796_000_000_000, False, 2**31)))
    probe_bytes = len(encode(ProbeRequest("z10-i34", 1_796_000_000_000)))
    answer_bytes = len(encode(ProbeAnswer("z10-i34", 1_796_000_000_000, 500)))
    rate = 1 / HEARTBEAT_SECONDS
    print("ways to detect failures, B/s of one daemon in both directions")
    for size in SIZES:
        count, zone = size.instances, max(size.zones)
        contacts = 2 * (len(size.zones) - 1) if zone > 2 else count - zone
        messages_and_bytes: dict[str, tuple[float, float]] = {
            "full mesh": (2 * (count - 1) * rate, in_zone_bytes),
            "one random probe per second": (4 * rate, (probe_bytes + answer_bytes) / 2),
            "zone mesh": (2 * (zone - 1) * rate, in_zone_bytes),
            "zone mesh, contact": (
                2 * (zone - 1 + contacts) * rate,
                (in_zone_bytes * (zone - 1) + cross_zone_bytes * contacts)
                / (zone - 1 + contacts),
            ),
        }
        for name, (messages, mean_bytes) in messages_and_bytes.items():
            wire = messages * (mean_bytes + WIRE_BYTES_PER_FRAME)
            print(
                f"{size.name:>4} {name}: {messages * mean_bytes:.0f}, "
                f"{wire:.0f} on wire"
            )


def compare_configurations() -> int:
    """Print the bytes of one change among 25,000 accounts; return violated bounds."""
    before, after = (
        configuration_json(ACCOUNT_COUNT),
        configuration_json(ACCOUNT_COUNT, rate=7, changed=12_000),
    )
    rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    splices = difference(before, after)
    delta_bytes = len(encode(ConfigurationDelta(1000, 1001, digest(after), splices)))
    shard_bytes = watcher_bytes_per_change(before, after)
    print(f"configuration of {ACCOUNT_COUNT} accounts: {len(before)} bytes")
    for name, size in (
        ("whole snapshot", len(after)),
        ("changed shards and manifest", shard_bytes),
        ("delta", delta_bytes),
    ):
        print(f"  {name}: {size} bytes a change, {size * rate:.0f} B/s on the day")
    print(f"  one platform value holds the snapshot: {len(after) <= MAX_VALUE_BYTES}")
    return report(
        "  delta to each daemon", delta_bytes * rate, CONTROL_BYTES_PER_SECOND, "B/s"
    )


def watcher_bytes_per_change(before: bytes, after: bytes) -> int:
    """Return the bytes a watcher reads from the platform for one change."""
    fleet = Fleet((1,))
    publisher = ShardedConfiguration(fleet.platform, random.Random(1))
    revisions: list[int] = []
    publisher.publish(before, 0).addCallback(revisions.append)
    publisher.counters.clear()
    publisher.publish(after, revisions[0]).addCallback(revisions.append)
    manifest_bytes: list[int] = []
    fleet.platform.get("configuration").addCallback(
        lambda entry: manifest_bytes.append(len(entry.value))
    )
    old = set(split_by_content(before, 32_000))
    new_bytes = sum(
        len(each) for each in split_by_content(after, 32_000) if each not in old
    )
    print(f"  manifest {manifest_bytes[0]} bytes, writes {publisher.counters}")
    return new_bytes + manifest_bytes[0]


def main(run: Callable[[FleetSize], int] = run_size) -> int:
    """Run all sizes; return the number of violated bounds."""
    compare_failure_detection()
    violated = compare_configurations()
    return violated + sum(run(size) for size in SIZES)


if __name__ == "__main__":
    raise SystemExit(main())
