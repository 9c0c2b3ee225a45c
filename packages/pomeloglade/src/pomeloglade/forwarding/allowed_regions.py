"""The regions that requests of a route and of a client account may be sent to."""

from collections.abc import Mapping

from .deployment import Account, Route

NO_SERVER_IN_REGION = "no_server_in_region"
"""Reason of a refusal if no server of a service is in an allowed region."""

REGION_RETRY_SECONDS = 1.0
"""Retry delay with this reason. Servers that restart are away for seconds, and a new
configuration is in force within two."""


class AllowedRegions:
    """Decides which availability zones a call may be sent to.

    A route and an account may each name regions; where both do, a zone must be in a
    region that both name. A zone without a known region is in none. The result is a
    set of zones, or ``None`` for calls that may be sent anywhere, so that these cost
    no more than two look-ups of an attribute.

    Parameters
    ----------
    region_by_zone : mapping
        The region of each availability zone.
    availability_zone : str
        The zone of this instance.
    region : str
        The region of this instance, if the mapping does not give that of its zone.

    Examples
    --------
    >>> from datetime import timedelta
    >>> from .deployment import CallKind
    >>> second = timedelta(seconds=1)
    >>> route = Route("all", "a.example", "/", CallKind.SAFE, (), second, second,
    ...               allowed_regions=frozenset(("north", "south")))
    >>> account = Account("club", frozenset(), allowed_regions=frozenset(("south",)))
    >>> regions = AllowedRegions({"zone-a": "north", "zone-b": "south"}, "zone-a")
    >>> sorted(regions.zones_for(route, None))
    ['zone-a', 'zone-b']
    >>> sorted(regions.zones_for(route, account))
    ['zone-b']
    """

    def __init__(
        self,
        region_by_zone: Mapping[str, str] | None = None,
        availability_zone: str = "",
        region: str = "",
    ) -> None:
        self._region_by_zone = dict(region_by_zone or {})
        if region:
            self._region_by_zone.setdefault(availability_zone, region)
        self._own_zone = availability_zone
        self._own_region = region or self._region_by_zone.get(availability_zone)

    def zones_for(self, route: Route, account: Account | None) -> frozenset[str] | None:
        """Return the zones that a call may be sent to, or ``None`` for any zone."""
        by_route = route.allowed_regions
        by_account = account.allowed_regions if account is not None else None
        if not by_route and not by_account:
            return None
        return frozenset(
            zone
            for zone, region in self._region_by_zone.items()
            if (not by_route or region in by_route)
            and (not by_account or region in by_account)
        )

    def instance_may_take(
        self, availability_zone: str, zones: frozenset[str] | None
    ) -> bool:
        """Return whether a call may be passed on to an instance in a zone.

        It may be in an allowed region, or in the region where the call is already.
        """
        if zones is None or availability_zone in zones:
            return True
        if availability_zone == self._own_zone:
            return True
        region = self._region_by_zone.get(availability_zone)
        return region is not None and region == self._own_region
