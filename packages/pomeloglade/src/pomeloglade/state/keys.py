"""Maps key digests to the client accounts that they belong to."""

from dataclasses import dataclass

from pomeloglade_coordination.refusals import Reason, Refusal, Step

from .call import Caller
from .deployment import Deployment, Route
from .key_digest import digest_key


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The client account and key name that a digest belongs to."""

    account: str
    key_name: str
    withdrawn: bool = False


def key_owners_by_digest(deployment: Deployment) -> dict[str, KeyOwner]:
    """Return the owner of every digest, withdrawn ones included.

    A digest that is withdrawn anywhere counts as withdrawn.
    """
    owners_by_digest: dict[str, KeyOwner] = {}
    for account in deployment.accounts_by_name.values():
        for key_name, digest in account.key_digests.items():
            owners_by_digest[digest] = KeyOwner(account.name, key_name)
    for account in deployment.accounts_by_name.values():
        for digest in account.withdrawn_digests:
            owners_by_digest[digest] = KeyOwner(account.name, "", withdrawn=True)
    return owners_by_digest


class KeyIndex:
    """Authenticates callers by their keys, for one deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self._callers_by_digest: dict[str, Caller] = {}
        self._withdrawn: set[str] = set()
        for digest, owner in key_owners_by_digest(deployment).items():
            if owner.withdrawn:
                self._withdrawn.add(digest)
                continue
            account = deployment.accounts_by_name[owner.account]
            self._callers_by_digest[digest] = Caller(account, digest)

    def is_valid(self, digest: str) -> bool:
        """Return whether the key with this digest may be used."""
        return digest in self._callers_by_digest

    def authenticate(self, route: Route, key: str) -> Caller | Refusal:
        """Return the caller of ``key`` on ``route``, or a refusal.

        On open routes every caller is anonymous, even if it sends a key.
        """
        if route.open:
            return Caller()
        if not key:
            return Refusal(Reason.KEY_MISSING, Step.AUTHENTICATE)
        digest = digest_key(key)
        if digest in self._withdrawn:
            return Refusal(Reason.KEY_WITHDRAWN, Step.AUTHENTICATE)
        caller = self._callers_by_digest.get(digest)
        return caller or Refusal(Reason.KEY_UNKNOWN, Step.AUTHENTICATE)
