"""The daemon's settings, read from flags and environment variables."""

import ipaddress
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Annotated
from urllib.parse import urlsplit

import typer

from .state.addresses import MAX_PORT, parse_address
from .state.durations import format_duration, parse_duration
from .state.folder_checks import INVALID_NAME_REASON, is_name

ENVIRONMENT_PREFIX = "POMELOGLADE_"
MIN_SECRET_CHARACTERS = 16
DEFAULT_MAX_BODY_BYTES = 4_000_000
MAX_BODY_BYTES_BOUND = 64_000_000
MAX_DRAIN_TIMEOUT = timedelta(hours=1)
MAX_PLATFORM_TIMEOUT = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one entry instance.

    ``listen_*`` is where callers and operators connect, ``peer_*`` where other
    instances do; port 0 takes any free port, which the daemon logs.
    ``peer_addresses`` are ``"host:port"`` of instances to contact first. Every
    instance of the fleet has the same ``peer_secret``, which ``repr`` omits.
    ``drain_timeout`` bounds how long a graceful shutdown waits for open requests;
    ``platform_timeout`` bounds each call to the key-value service.
    """

    instance: str
    availability_zone: str
    listen_host: str
    listen_port: int
    peer_host: str
    peer_port: int
    peer_addresses: tuple[str, ...]
    platform_url: str
    peer_secret: str = field(repr=False)
    drain_timeout: timedelta
    platform_timeout: timedelta
    max_body_bytes: int


def parse_name(text: str) -> str:
    """Return ``text`` if it can name an instance or availability zone."""
    if is_name(text):
        return text
    raise typer.BadParameter(f"{text!r} is {INVALID_NAME_REASON}")


def parse_host(text: str) -> str:
    """Return ``text`` if it is an IP address."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise typer.BadParameter(
            f"{text!r} is not a host; allowed: an IPv4 or IPv6 address"
        ) from None


def parse_port(text: str) -> int:
    """Return the port number in ``text``; 0 means any free port."""
    return _parse_whole_number(text, "a port", 0, MAX_PORT)


def parse_max_body_bytes(text: str) -> int:
    """Return the limit in ``text`` on the size of a request body, in bytes."""
    return _parse_whole_number(text, "a number of bytes", 1, MAX_BODY_BYTES_BOUND)


def parse_peer_address(text: str) -> str:
    """Return ``text`` if it is ``host:port`` with an IP address as host."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None


def parse_url(text: str) -> str:
    """Return the ``http`` or ``https`` URL in ``text`` without a trailing slash."""
    try:
        parts = urlsplit(text)
        valid = parts.scheme in ("http", "https") and parts.hostname
        valid = valid and parts.port != 0 and not parts.query
    except ValueError:
        valid = False
    if valid:
        return text.rstrip("/")
    raise typer.BadParameter(
        f"{text!r} is not an address; allowed: http:// or https://, then HOST[:PORT]"
    )


def parse_secret(text: str) -> str:
    """Return ``text`` if it is long enough; error messages don't contain it."""
    if len(text) >= MIN_SECRET_CHARACTERS:
        return text
    raise typer.BadParameter(
        f"the value (hidden) has {len(text)} characters;"
        f" allowed: {MIN_SECRET_CHARACTERS} characters or more"
    )


def parse_duration_within(
    text: str, lowest: timedelta, highest: timedelta
) -> timedelta:
    """Return the duration in ``text`` if it is from ``lowest`` to ``highest``."""
    try:
        duration = parse_duration(str(text))
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None
    if lowest <= duration <= highest:
        return duration
    allowed = f"{format_duration(lowest)} to {format_duration(highest)}"
    raise typer.BadParameter(f"{text!r} is out of range; allowed: {allowed}")


def parse_drain_timeout(text: str) -> timedelta:
    """Return the timeout of a graceful shutdown."""
    return parse_duration_within(text, timedelta(0), MAX_DRAIN_TIMEOUT)


def parse_platform_timeout(text: str) -> timedelta:
    """Return the timeout of each call to the key-value service."""
    return parse_duration_within(text, timedelta(milliseconds=1), MAX_PLATFORM_TIMEOUT)


def run_with_settings(
    start: Callable[[Settings], None], arguments: Sequence[str] | None = None
) -> None:
    """Read flags and environment variables, then call ``start``.

    Each flag has an environment variable, ``--listen-port`` for example
    ``POMELOGLADE_LISTEN_PORT``; a flag takes precedence over its variable. A bad
    value ends the process with exit code 2 and an error that names the flag, the
    value and what is allowed. ``arguments`` replaces those of the process.

    >>> run_with_settings(print, ["--instance", "i1", ...])  # doctest: +SKIP
    Settings(instance='i1', ...)
    """
    settings_app(start)(arguments)


def settings_app(start: Callable[[Settings], None]) -> typer.Typer:
    """Return the command line that passes its settings to ``start``."""
    app = typer.Typer(
        add_completion=False, rich_markup_mode=None, pretty_exceptions_enable=False
    )

    @app.command(name="pomelogladed")
    def pomelogladed(
        instance: Annotated[
            str, _option("--instance", parse_name, "Name of this instance.")
        ],
        availability_zone: Annotated[
            str,
            _option(
                "--availability-zone", parse_name, "Zone that this instance runs in."
            ),
        ],
        platform_url: Annotated[
            str,
            _option("--platform-url", parse_url, "Address of the key-value service."),
        ],
        peer_secret: Annotated[
            str,
            _option(
                "--peer-secret",
                parse_secret,
                "Secret shared by the fleet; better set by its environment variable.",
            ),
        ],
        listen_host: Annotated[
            str,
            _option(
                "--listen-host", parse_host, "IP address to listen on for callers."
            ),
        ] = "127.0.0.1",
        listen_port: Annotated[
            int,
            _option(
                "--listen-port", parse_port, "Port for callers; 0 takes any free port."
            ),
        ] = 8080,
        peer_host: Annotated[
            str,
            _option(
                "--peer-host",
                parse_host,
                "IP address to listen on for other instances.",
            ),
        ] = "127.0.0.1",
        peer_port: Annotated[
            int,
            _option(
                "--peer-port",
                parse_port,
                "Port for other instances; 0 takes any free port.",
            ),
        ] = 8081,
        peer_address: Annotated[
            list[str] | None,
            _option(
                "--peer-address",
                parse_peer_address,
                "HOST:PORT of an instance to contact first; may be repeated. In the"
                " environment variable, addresses are separated by spaces.",
            ),
        ] = None,
        drain_timeout: Annotated[
            timedelta,
            _option(
                "--drain-timeout",
                parse_drain_timeout,
                "How long a graceful shutdown waits for open requests.",
            ),
        ] = "120s",
        platform_timeout: Annotated[
            timedelta,
            _option(
                "--platform-timeout",
                parse_platform_timeout,
                "Timeout of each call to the key-value service.",
            ),
        ] = "2s",
        max_body_bytes: Annotated[
            int,
            _option(
                "--max-body-bytes",
                parse_max_body_bytes,
                "Largest request body accepted, in bytes.",
            ),
        ] = DEFAULT_MAX_BODY_BYTES,
    ) -> None:
        """Run one entry instance of the router."""
        settings = Settings(
            instance=instance,
            availability_zone=availability_zone,
            listen_host=listen_host,
            listen_port=listen_port,
            peer_host=peer_host,
            peer_port=peer_port,
            peer_addresses=tuple(peer_address or ()),
            platform_url=platform_url,
            peer_secret=peer_secret,
            drain_timeout=drain_timeout,
            platform_timeout=platform_timeout,
            max_body_bytes=max_body_bytes,
        )
        start(settings)

    return app


def _option(flag: str, parser: Callable[[str], object], help_text: str) -> object:
    variable = ENVIRONMENT_PREFIX + flag.strip("-").replace("-", "_").upper()
    return typer.Option(flag, envvar=variable, parser=parser, help=help_text)


def _parse_whole_number(text: str, kind: str, lowest: int, highest: int) -> int:
    text = str(text)
    if text.isascii() and text.isdecimal() and lowest <= int(text) <= highest:
        return int(text)
    raise typer.BadParameter(
        f"{text!r} is not {kind}; allowed: a whole number from {lowest} to {highest}"
    )
