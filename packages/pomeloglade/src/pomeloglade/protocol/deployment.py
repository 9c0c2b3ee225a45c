"""Encoding of the published configuration as a value of the key-value service."""

from dataclasses import dataclass, replace

import msgspec

from pomeloglade_coordination.json_decoding import decode_json

from ..state.deployment import Deployment

CONFIGURATION_KEY = "configuration"
"""Key of the published configuration in the platform's key-value service."""

MAX_CONFIGURATION_BYTES = 16_000_000


@dataclass(frozen=True, slots=True)
class PublishedDeployment:
    """A deployment with the id of the publish that stored it.

    Every publish has a unique id and lists the ids of recent earlier ones, newest
    first, so that an operator whose publish got no response can tell from the stored
    value whether it took effect. ``withdrawn_digests`` are the withdrawn key digests
    of client accounts that are no longer in the deployment.
    """

    publish_id: str
    deployment: Deployment
    recent_publish_ids: tuple[str, ...] = ()
    withdrawn_digests: tuple[str, ...] = ()


class DeploymentTooLargeError(ValueError):
    """The encoded configuration exceeds ``MAX_CONFIGURATION_BYTES``."""


def encode(published: PublishedDeployment) -> bytes:
    """Return the configuration as JSON with sorted keys.

    Durations are encoded as ISO 8601 strings, for example ``"PT1.1S"``. Raises
    ``DeploymentTooLargeError`` above ``MAX_CONFIGURATION_BYTES``.
    """
    value = msgspec.json.encode(published, order="deterministic")
    if len(value) > MAX_CONFIGURATION_BYTES:
        raise DeploymentTooLargeError(
            f"the configuration takes {len(value)} bytes with"
            f" {len(published.deployment.accounts_by_name)} client accounts;"
            f" allowed are {MAX_CONFIGURATION_BYTES} bytes"
        )
    return value


def decode(value: bytes) -> PublishedDeployment:
    """Return the configuration in ``value``.

    Raises ``msgspec.ValidationError`` with the path of the first invalid field.
    """
    return decode_json(value, PublishedDeployment)


def without_withdrawn_keys(published: PublishedDeployment) -> Deployment:
    """Return the deployment to put in force, without the withdrawn keys.

    A digest in ``published.withdrawn_digests`` is removed from every account, even
    if an account still lists it.
    """
    withdrawn = set(published.withdrawn_digests)
    accounts = {
        name: replace(
            account,
            key_digests={
                key_name: digest
                for key_name, digest in account.key_digests.items()
                if digest not in withdrawn
            },
        )
        for name, account in published.deployment.accounts_by_name.items()
    }
    return replace(published.deployment, accounts_by_name=accounts)
