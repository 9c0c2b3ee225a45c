"""Which instances own parts of the accounts' limits, from the configuration."""

from pomeloglade_coordination.share_owners import FixedOwners, OwnedPart

from ..state.deployment import Deployment


class OwnerTable:
    """Owners over the instances named in the configuration in force.

    Every instance of the fleet, live or not, has its parts, so views of the
    membership can't disagree on an owner. Before the first configuration, and
    without any instance in it, nothing may be spent.
    """

    def __init__(self) -> None:
        self._owners = FixedOwners({})

    def configure(self, deployment: Deployment) -> None:
        """Take the instances of a deployment."""
        names_by_zone: dict[str, list[str]] = {}
        for instance in deployment.instances_by_name.values():
            zone = instance.availability_zone
            names_by_zone.setdefault(zone, []).append(instance.name)
        self._owners = FixedOwners(
            {zone: tuple(names) for zone, names in names_by_zone.items()}
        )

    def parts(self, account: str) -> tuple[OwnedPart, ...]:
        """Return every part of ``account``, at most one for each instance."""
        return self._owners.parts(account)
