"""Index from key digests to client accounts."""

import hashlib

from pomeloglade_coordination.refusals import Reason, Refusal, Step

from .call import Caller
from .deployment import Deployment, Route


def digest_key(key: str) -> str:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyIndex:
    """Finds the caller of a key in the configuration in force."""

    def __init__(self, deployment: Deployment) -> None:
        self._callers_by_digest: dict[str, Caller] = {}
        for account in deployment.accounts_by_name.values():
            for digest in account.key_digests.values():
                self._callers_by_digest[digest] = Caller(account, digest)

    def knows(self, digest: str) -> bool:
        """Return whether the key with this digest may be used now."""
        return digest in self._callers_by_digest

    def authenticate(self, route: Route, key: str) -> Caller | Refusal:
        """Return the caller of ``key`` on ``route``, or why there is none.

        On open routes every caller is anonymous, whatever key it sends.
        """
        if route.open:
            return Caller()
        if not key:
            return Refusal(Reason.KEY_MISSING, Step.AUTHENTICATE)
        caller = self._callers_by_digest.get(digest_key(key))
        return caller or Refusal(Reason.KEY_UNKNOWN, Step.AUTHENTICATE)
