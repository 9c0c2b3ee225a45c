"""First messages of a peer connection, and the proof of the shared secret."""

import hashlib
import hmac
from dataclasses import dataclass

from pomeloglade_coordination.members import Member
from pomeloglade_coordination.peer import PeerMessage

NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Hello(PeerMessage):
    """Names the sender; the first message in both directions.

    ``replaces`` tells that the sender opened this connection because an earlier one
    to the same instance went silent.
    """

    instance: str
    availability_zone: str
    incarnation: int
    address: str
    nonce: bytes
    replaces: bool = False

    @property
    def member(self) -> Member:
        """The sender as a member."""
        return Member(
            self.instance, self.availability_zone, self.incarnation, self.address
        )


@dataclass(frozen=True, slots=True)
class Proof(PeerMessage):
    """Shows that the sender knows the shared secret."""

    digest: bytes


@dataclass(frozen=True, slots=True)
class KeepAlive(PeerMessage):
    """Shows that a connection without other messages still works."""


def proof(secret: str, prover: Hello, verifier: Hello) -> Proof:
    """Return the proof of ``prover``, bound to both hellos and their order."""
    mac = hmac.new(secret.encode(), digestmod=hashlib.sha256)
    for hello in (prover, verifier):
        fields = (hello.instance, hello.availability_zone, hello.address)
        parts = [each.encode() for each in fields]
        parts += [str(hello.incarnation).encode(), hello.nonce]
        for part in parts:
            mac.update(len(part).to_bytes(4))
            mac.update(part)
    return Proof(mac.digest())


def is_proof(message: Proof, secret: str, prover: Hello, verifier: Hello) -> bool:
    """Tell whether ``message`` is the proof, in constant time."""
    return hmac.compare_digest(message.digest, proof(secret, prover, verifier).digest)
