"""Entries of the platform's list of entry instances."""

from dataclasses import dataclass
from typing import Literal

INSTANCES_PREFIX = "instances/"
"""Key prefix of the platform's list of instances, with one key for each."""


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An entry of the platform's list of instances, which lags behind the fleet.

    ``address`` is the ``host:port`` for callers and operators, ``peer_address``
    that for other instances.
    """

    instance: str
    availability_zone: str
    address: str
    peer_address: str = ""
    state: Literal["live", "leaving"] = "live"
