"""Placement requests and their results."""

from dataclasses import dataclass, field
from typing import Literal

from .placement_messages import PlacementAsk, PlacementFreed


@dataclass(frozen=True, slots=True)
class Job:
    """One request to be placed on replicas.

    ``deadline`` is the first-token target. A ``patient`` request may miss it and
    waits until ``give_up_at``. Both are times of the instance's clock in seconds.
    ``prefix`` holds the hashes of the prompt's blocks. Copies of one request
    share a ``fingerprint``. A job that runs ``alone`` gets replicas without any
    other suspect.
    """

    request_id: str
    account: str
    weight: int
    pool: str
    kind: Literal["model", "plain"]
    prompt_tokens: int
    output_tokens: int
    deadline: float
    patient: bool = False
    give_up_at: float = 0.0
    prefix: tuple[int, ...] = ()
    fingerprint: str = ""
    alone: bool = False


@dataclass(frozen=True, slots=True)
class Assignment:
    """The replicas reserved for a request; unused roles are empty."""

    request_id: str
    prefill: str
    decode: str
    server: str


@dataclass(slots=True)
class FreedSlots:
    """Requests that freed slots, collected for one message to the owner."""

    prefilled: list[str] = field(default_factory=list)
    released: list[str] = field(default_factory=list)
    completed: list[str] = field(default_factory=list)

    def message(self, group: str) -> PlacementFreed:
        """Return the message for the owner of ``group``."""
        return PlacementFreed(
            group,
            tuple(self.prefilled),
            tuple(self.released),
            tuple(self.completed),
        )


def to_placement_ask(
    job: Job, group: str, number: int, now: float, unreachable: tuple[str, ...]
) -> PlacementAsk:
    """Return the message that asks a group's owner to place a job.

    Times become seconds from ``now``, as the owner has another clock.
    """
    return PlacementAsk(
        group=group,
        number=number,
        request_id=job.request_id,
        account=job.account,
        weight=job.weight,
        plain=job.kind == "plain",
        prompt_tokens=job.prompt_tokens,
        output_tokens=job.output_tokens,
        time_left=job.deadline - now,
        patient=job.patient,
        give_up_left=job.give_up_at - now,
        prefix=job.prefix,
        fingerprint=job.fingerprint,
        alone=job.alone,
        unreachable=unreachable,
    )
