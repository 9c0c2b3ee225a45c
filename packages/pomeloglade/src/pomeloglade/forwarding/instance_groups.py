"""Groups of instances that share a contact, and the ranking of its candidates."""

import functools
import hashlib
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from pomeloglade_coordination.json_decoding import Name, decode_json

from ..protocol.network_address import parse_address

MAX_DIRECT_INSTANCES = 16
"""Up to this many instances report to each other directly, as groups of one. Beyond
it the messages, which grow with the square of the instances, cost more than the delay
that a contact adds."""

MAX_GROUP_SIZE = 20
"""A contact sends this many digests of about 700 bytes every 80 ms, which is a fifth
of a link of 10 Mbit/s."""


@dataclass(frozen=True, slots=True)
class Peer:
    """Address and availability zone that an instance registered."""

    availability_zone: str
    address: tuple[str, int]


class PeerRecord(msgspec.Struct):
    """An instance's registration in the store."""

    address: Name
    zone: Name


def decode_peer(value: bytes) -> Peer:
    """Return the instance that a registration describes.

    Raises ``ValueError`` or its subclass ``msgspec.DecodeError`` if it is malformed.
    """
    record = decode_json(value, PeerRecord)
    return Peer(record.zone, parse_address(record.address))


class InstanceGroups:
    """Divides the instances into groups within their availability zones.

    All instances with the same list of names compute the same groups and rankings. An
    instance keeps its group when others come or leave, unless the number of groups in
    its zone changes.

    >>> zones = {f"entry-{number}": "zone-a" for number in range(30)}
    >>> groups = InstanceGroups(zones)
    >>> sorted(groups.names())
    ['zone-a/0', 'zone-a/1']
    >>> ranking = groups.ranking(groups.group_of("entry-7"))
    >>> "entry-7" in ranking, len(ranking) < 30
    (True, True)
    """

    def __init__(self, zones_by_instance: Mapping[str, str]) -> None:
        direct = len(zones_by_instance) <= MAX_DIRECT_INSTANCES
        sizes_by_zone: dict[str, int] = defaultdict(int)
        for zone in zones_by_instance.values():
            sizes_by_zone[zone] += 1
        self._group_by_instance: dict[str, str] = {}
        members_by_group: dict[str, list[str]] = defaultdict(list)
        for instance, zone in zones_by_instance.items():
            count = -(-sizes_by_zone[zone] // MAX_GROUP_SIZE)
            group = instance if direct else f"{zone}/{_score('', instance) % count}"
            self._group_by_instance[instance] = group
            members_by_group[group].append(instance)
        self._ranking_by_group = {
            group: tuple(sorted(members, key=lambda name, g=group: _score(g, name)))
            for group, members in members_by_group.items()
        }

    def names(self) -> list[str]:
        """Return the names of the groups."""
        return list(self._ranking_by_group)

    def group_of(self, instance: str) -> str | None:
        """Return the group of an instance, or ``None`` if it is not registered."""
        return self._group_by_instance.get(instance)

    def ranking(self, group: str) -> tuple[str, ...]:
        """Return the members of a group; the first live one is its contact."""
        return self._ranking_by_group.get(group, ())


@functools.lru_cache(maxsize=4096)
def _score(group: str, instance: str) -> int:
    digest = hashlib.blake2b(f"{group}\x00{instance}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")
