"""Handshake messages of a peer connection and the proof of the shared secret."""

import hashlib
import hmac
from dataclasses import dataclass

from pomeloglade_coordination.members import Member
from pomeloglade_coordination.peer import PeerMessage

NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Hello(PeerMessage):
    """Identifies the sender; the first message in each direction.

    ``replaces`` is true if the sender opened this connection because an earlier one
    to the same instance timed out.
    """

    instance: str
    availability_zone: str
    incarnation: int
    address: str
    nonce: bytes
    replaces: bool = False

    @property
    def member(self) -> Member:
        """The sender as a fleet member."""
        return Member(
            self.instance, self.availability_zone, self.incarnation, self.address
        )


@dataclass(frozen=True, slots=True)
class Proof(PeerMessage):
    """Proves that the sender knows the shared secret."""

    digest: bytes


@dataclass(frozen=True, slots=True)
class KeepAlive(PeerMessage):
    """Sent on a connection without other messages, to show that it still works."""


def compute_proof(secret: str, prover: Hello, verifier: Hello) -> Proof:
    """Return the HMAC over both hellos, that of ``prover`` first.

    The proof is bound to both nonces and to the roles of the two instances.
    """
    mac = hmac.new(secret.encode(), digestmod=hashlib.sha256)
    for hello in (prover, verifier):
        fields = (hello.instance, hello.availability_zone, hello.address)
        parts = [each.encode() for each in fields]
        parts += [str(hello.incarnation).encode(), hello.nonce]
        for part in parts:
            mac.update(len(part).to_bytes(4))
            mac.update(part)
    return Proof(mac.digest())


def verify_proof(message: Proof, secret: str, prover: Hello, verifier: Hello) -> bool:
    """Return whether a proof is valid, comparing digests in constant time."""
    return hmac.compare_digest(
        message.digest, compute_proof(secret, prover, verifier).digest
    )
