"""Tests of what a process needs at its start and may lack for a moment."""

import errno

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError

from forwarding_fakes import ListLog
from pomeloglade.errors import SettingsError
from pomeloglade.startup import (
    PORT_SECONDS,
    SETTINGS_SECONDS,
    PortOpener,
    read_settings,
)

LISTENING = object()


class Port:
    """A port that is in use until ``free_at``."""

    def __init__(self, clock, free_at, number=errno.EADDRINUSE):
        self.clock = clock
        self.free_at = free_at
        self.number = number
        self.tries = 0

    async def listen(self):
        self.tries += 1
        if self.clock.seconds() < self.free_at:
            raise CannotListenError("127.0.0.1", 9464, OSError(self.number, "in use"))
        return LISTENING


@pytest.fixture
def log():
    return ListLog()


@pytest.fixture
def opener(clock, log):
    return PortOpener(clock, log)


def run(clock, coroutine, seconds):
    """Return what a coroutine has returned or raised within some seconds."""
    outcomes = []
    Deferred.fromCoroutine(coroutine).addBoth(outcomes.append)
    for _ in range(round(seconds / 0.05)):
        clock.advance(0.05)
    return outcomes


# Guards against a process that ends as its predecessor still holds a port: FAULT.
def test_required_port_is_opened_once_it_is_free(clock, opener, log):
    port = Port(clock, free_at=2.0)
    assert run(clock, opener.open_required("callers", port.listen), 3) == [LISTENING]
    assert log.names() == ["port_in_use", "port_free"]


def test_required_port_that_stays_in_use_is_an_error(clock, opener):
    port = Port(clock, free_at=float("inf"))
    outcome = run(clock, opener.open_required("callers", port.listen), PORT_SECONDS + 1)
    assert outcome[0].check(CannotListenError)


def test_port_that_may_not_be_opened_is_an_error_at_once(clock, opener):
    port = Port(clock, free_at=float("inf"), number=errno.EACCES)
    outcome = run(clock, opener.open_required("callers", port.listen), 0)
    assert outcome[0].check(CannotListenError)
    assert port.tries == 1


def test_optional_port_is_opened_however_late_it_is_free(clock, opener):
    port = Port(clock, free_at=10 * PORT_SECONDS)
    opened = opener.open_optional("metrics", port.listen)
    assert run(clock, opened, 10 * PORT_SECONDS + 1) == [LISTENING]


# Guards against a process that ends as its settings are being written: FAULT.
def test_settings_that_are_being_written_are_read_again(clock):
    def load():
        if clock.seconds() < 1.0:
            raise SettingsError("settings file is invalid")
        return "settings"

    assert read_settings(load, now=clock.seconds, sleep=clock.advance) == "settings"


def test_settings_that_stay_wrong_are_an_error(clock):
    def load():
        raise SettingsError("settings file is invalid")

    with pytest.raises(SettingsError):
        read_settings(load, now=clock.seconds, sleep=clock.advance)
    assert SETTINGS_SECONDS <= clock.seconds() < SETTINGS_SECONDS + 1
