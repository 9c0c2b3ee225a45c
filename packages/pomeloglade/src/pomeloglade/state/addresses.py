"""Parses the network addresses in settings and configurations."""

import ipaddress

MAX_PORT = 65_535
ALLOWED_ADDRESSES = (
    f"HOST:PORT with an IP address (IPv6 in brackets) and a port from 1 to {MAX_PORT}"
)


def parse_address(text: str) -> str:
    """Return ``text`` if it is an IP address with a port.

    Raises ``ValueError``, whose message names the text and what is allowed.

    >>> parse_address("[::1]:7000")
    '[::1]:7000'
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid_host = host.startswith("[") == (":" in host)
    except ValueError:
        valid_host = False
    if valid_host and port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT:
        return text
    raise ValueError(f"{text!r} is not an address; allowed: {ALLOWED_ADDRESSES}")
