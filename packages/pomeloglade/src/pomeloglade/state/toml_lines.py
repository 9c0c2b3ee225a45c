"""Finds the line numbers of the keys in a TOML file."""

import re
import tomllib
from collections.abc import Iterator
from typing import Any

from .folder_checks import KeyPath, Problem


def flatten(table: dict[str, Any], parent: KeyPath) -> Iterator[tuple[KeyPath, Any]]:
    """Yield the path and value of each field and of each empty table."""
    for key, value in table.items():
        path = (*parent, key)
        if isinstance(value, dict) and value:
            yield from flatten(value, path)
        else:
            yield path, value


def keys_by_line(text: str) -> Iterator[tuple[int, KeyPath]]:
    """Yield the line number and path of each table and field that starts a line."""
    table: KeyPath = ()
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.split("#")[0].strip()
        if stripped.startswith("["):
            table = _key_path(stripped) or table
            yield number, table
        elif "=" in stripped:
            path = _key_path(stripped.split("=")[0] + " = 0")
            yield number, (*table, *path)


def syntax_problems(file: str, text: str, error: Exception) -> Iterator[Problem]:
    """Yield the problems of a file that is not valid TOML."""
    lines_by_path: dict[KeyPath, int] = {}
    repeated = False
    for number, path in keys_by_line(text):
        first = lines_by_path.setdefault(path, number)
        if first != number:
            repeated = True
            reason = f"set twice in this file, first in line {first}"
            yield Problem(file, number, ".".join(path), reason)
    if not repeated:
        yield Problem(file, _error_line(text, str(error)), "", str(error))


def _error_line(text: str, message: str) -> int:
    matched = re.search(r"\(at line (\d+), column \d+\)", message)
    return int(matched[1]) if matched else len(text.splitlines())


def line_of(lines_by_path: dict[KeyPath, int], path: KeyPath) -> int:
    """Return the line of ``path`` or of its enclosing table; 0 when unknown."""
    for length in range(len(path), 1, -1):
        if path[:length] in lines_by_path:
            return lines_by_path[path[:length]]
    return lines_by_path.get(path, 0)


def _key_path(line: str) -> KeyPath:
    """Return the path of the key in a line of TOML; empty if there is none."""
    try:
        node: Any = tomllib.loads(line)
    except tomllib.TOMLDecodeError:
        return ()
    path: KeyPath = ()
    while isinstance(node, dict) and node:
        key = next(iter(node))
        path = (*path, key)
        node = node[key]
    return path
