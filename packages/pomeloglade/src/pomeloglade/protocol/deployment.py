"""Encoding of a deployment as the value kept by the platform."""

import msgspec

from ..state.deployment import Deployment


def encode(deployment: Deployment) -> bytes:
    """Return the deployment as JSON with sorted keys.

    Durations are written as ISO 8601 strings, for example ``"PT1.1S"``.
    """
    return msgspec.json.encode(deployment, order="deterministic")


def decode(value: bytes) -> Deployment:
    """Return the deployment in ``value``.

    Raises ``msgspec.ValidationError`` with the path of the first bad field.
    """
    return msgspec.json.decode(value, type=Deployment)
