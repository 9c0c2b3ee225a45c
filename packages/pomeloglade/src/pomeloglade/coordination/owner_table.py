"""Assigns parts of the accounts' limits to the configured instances."""

from pomeloglade_coordination.share_owners import FixedOwners, OwnedPart

from ..state.deployment import Deployment


class OwnerTable:
    """Finds the owners of a limit among the instances of the configuration.

    Every configured instance, live or not, owns its parts, so instances with
    different views of the membership can't disagree on an owner. Before the first
    configuration, or if it names no instances, no tokens may be spent.
    """

    def __init__(self) -> None:
        self._owners = FixedOwners({})

    def configure(self, deployment: Deployment) -> None:
        """Set the owners to the instances of a deployment."""
        names_by_zone: dict[str, list[str]] = {}
        for instance in deployment.instances_by_name.values():
            zone = instance.availability_zone
            names_by_zone.setdefault(zone, []).append(instance.name)
        self._owners = FixedOwners(
            {zone: tuple(names) for zone, names in names_by_zone.items()}
        )

    def parts(self, account: str) -> tuple[OwnedPart, ...]:
        """Return all parts of the account's limit, at most one for each instance."""
        return self._owners.parts(account)
