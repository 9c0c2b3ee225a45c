"""Events that membership counts."""

import enum


class MembershipEvent(enum.Enum):
    """Membership events; each has a counter."""

    OLD_INCARNATION = "old_incarnation"
    UNKNOWN_SENDER = "unknown_sender"
    UNKNOWN_MESSAGE = "unknown_message"
    SUSPECTED = "suspected"
    PROBE_SENT = "probe_sent"
    PROBE_REFUTED = "probe_refuted"
    DECLARED_DEAD = "declared_dead"
    OWN_FENCED = "own_fenced"
    OWN_PAUSE = "own_pause"
    ZONE_LOST = "zone_lost"
    ZONE_FOUND = "zone_found"
    ZONE_MISMATCH = "zone_mismatch"
    JOIN_RETRY = "join_retry"
