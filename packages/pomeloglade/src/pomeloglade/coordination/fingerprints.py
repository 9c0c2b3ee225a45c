"""Computes fingerprints of requests and hashes of prompt prefixes."""

import xxhash

from ..state.call import ModelCall, PlainCall

PREFIX_BLOCK_BYTES = 1024
MAX_PREFIX_BLOCKS = 32


def fingerprint(call: ModelCall | PlainCall) -> str:
    """Return a digest of the account, the route and the content of the call."""
    digest = xxhash.xxh3_128()
    for part in (call.caller.name, call.route.name):
        digest.update(part.encode() + b"\x00")
    if isinstance(call, ModelCall):
        digest.update(f"{call.model}\x00{call.prompt}".encode())
    else:
        digest.update(f"{call.method}\x00{call.path}\x00".encode() + call.body)
    return digest.hexdigest()


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return one hash for each complete block of the prompt.

    A block has ``PREFIX_BLOCK_BYTES``, and its hash covers all blocks up to it,
    so two prompts share as many leading hashes as they share leading blocks. At
    most ``MAX_PREFIX_BLOCKS`` are hashed.
    """
    text = prompt.encode()
    digest = xxhash.xxh3_64()
    hashes = []
    block_count = min(len(text) // PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS)
    for block in range(block_count):
        start = block * PREFIX_BLOCK_BYTES
        digest.update(text[start : start + PREFIX_BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)
