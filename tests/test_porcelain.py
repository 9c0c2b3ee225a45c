"""Tests of the operators' calls on an in-memory store."""

from datetime import timedelta

import pytest

from pomeloglade.keys import digest_key, key_owners_by_digest
from pomeloglade.protocol.deployment import (
    DeploymentTooLargeError,
    Published,
    decode,
    encode,
)
from pomeloglade.state.deployment import ClientAccount, Deployment, Route


def test_a_published_deployment_survives_its_encoding():
    route = Route("r", "/r", "model", "p", first_token=timedelta(seconds=1.1))
    account = ClientAccount("a", 10, 20, withdrawn_digests=(digest_key("k"),))
    deployment = Deployment(("z",), {"a": account}, {"r": route})
    published = Published("p1", deployment)
    assert decode(encode(published)) == published
    assert key_owners_by_digest(deployment)[digest_key("k")].withdrawn


def test_a_deployment_over_a_megabyte_is_refused_with_its_size():
    accounts = {f"a{i}": ClientAccount(f"a{i}", 1, 1) for i in range(10_000)}
    with pytest.raises(DeploymentTooLargeError, match="10000 client accounts"):
        encode(Published("p1", Deployment(accounts_by_name=accounts)))
