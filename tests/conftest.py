"""Shared fixtures of all tests."""

import hypothesis
import pytest
from twisted.internet.task import Clock

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, max_examples=50
)
hypothesis.settings.register_profile("fuzz", deadline=None, database=None)
hypothesis.settings.load_profile("ci")


@pytest.fixture
def clock():
    return Clock()
