"""Events that ``Shares`` counts."""

import enum


class ShareEvent(enum.Enum):
    """An event with a counter of its own."""

    GRANTED_LOCALLY = "granted_locally"
    GRANTED_WITH_LOANS = "granted_with_loans"
    REFUSED_OVER_RATE = "refused_over_rate"
    REFUSED_OVER_BURST = "refused_over_burst"
    REFUSED_WITHOUT_ASKING = "refused_without_asking"
    LEASE_LAPSED = "lease_lapsed"
    REFUNDED = "refunded"
    ROUND = "round"
    ROUND_TIMED_OUT = "round_timed_out"
    ROUND_RETRIED = "round_retried"
    OUTDATED_LOAN = "outdated_loan"
