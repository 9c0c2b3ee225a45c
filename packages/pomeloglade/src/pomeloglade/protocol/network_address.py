"""Network addresses in text that another process wrote."""

from ipaddress import AddressValueError, IPv4Address

MAX_PORT = 65_535


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and the port in ``HOST:PORT``, or raise ``ValueError``.

    The host is the IPv4 address of one machine, and the port is in ASCII digits.

    >>> parse_address("10.1.0.9:8080")
    ('10.1.0.9', 8080)
    >>> parse_address("10.1.0.9:70000")
    Traceback (most recent call last):
        ...
    ValueError: address '10.1.0.9:70000': port is not from 1 to 65535
    """
    shown = repr(text[:80])
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"address {shown} is not HOST:PORT")
    try:
        address = IPv4Address(host)
    except AddressValueError as error:
        raise ValueError(f"address {shown}: {error}") from error
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f"address {shown} is not that of one machine")
    digits = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not digits or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"address {shown}: port is not from 1 to {MAX_PORT}")
    return host, int(port)
