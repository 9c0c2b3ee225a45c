"""Keys by which instances recognize a request that is sent again."""

import hashlib

from .calls import ForwardedCall, Prompt

KEY_BYTES = 8

MAX_PARTS = 64
"""Parts of a prompt before the last that get a key. Prompts have a handful; a longer
list would take more time than the rest of a call's handling."""


def request_key(call: ForwardedCall, account: str | None) -> int:
    """Return the key of a call's request.

    Two calls have the same key if the same account asks for the same, whatever ids,
    time limits and other headers the calls have.

    >>> first = ForwardedCall("a", b"GET", b"/x", "api", "/x", (), b"", arrived=1.0)
    >>> again = ForwardedCall("b", b"GET", b"/x", "api", "/x", (), b"", arrived=2.0)
    >>> request_key(first, "club") == request_key(again, "club")
    True
    >>> request_key(first, "club") == request_key(again, "league")
    False
    """
    return _key(
        b"request",
        (account or "").encode(),
        call.method,
        call.host.encode(),
        call.target,
        call.body,
    )


def part_keys(prompt: Prompt) -> tuple[int, ...]:
    """Return the keys of a prompt's parts, the last one's at the end.

    Most last parts belong to one request or to its session. One that several requests
    have is recognized like any other part.

    >>> first = Prompt("m", 300, 10, parts=(("aa", 100), ("bb", 200)))
    >>> other = Prompt("m", 200, 10, parts=(("aa", 100), ("cc", 100)))
    >>> part_keys(first)[0] == part_keys(other)[0]
    True
    >>> part_keys(first)[1] == part_keys(other)[1]
    False
    """
    parts = (*prompt.parts[:-1][:MAX_PARTS], *prompt.parts[-1:])
    return tuple(_key(b"part", part.encode()) for part, _ in parts)


def _key(*fields: bytes) -> int:
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for field in fields:
        # With its length, so that no two lists of fields have the same bytes.
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return int.from_bytes(digest.digest(), "big")
