"""Prints the pytest options that deselect the tests listed in KNOWN-RED.txt."""

import sys
from pathlib import Path

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
FIELD_SEPARATOR = " | "


def read_entries(text: str) -> list[list[str]]:
    """Return the fields of each entry; skip comments and blank lines."""
    lines = (line.strip() for line in text.splitlines())
    return [line.split(FIELD_SEPARATOR) for line in lines if line and line[0] != "#"]


def is_test(name: str) -> bool:
    """Return whether an entry names a single test rather than a file or a bench."""
    return name.startswith("tests/") and "::" in name and " " not in name


def main() -> None:
    """Print one ``--deselect`` per test, and every entry on stderr."""
    for fields in read_entries(KNOWN_RED.read_text()):
        sys.stderr.write(f"known red: {FIELD_SEPARATOR.join(fields)}\n")
        if is_test(fields[0]):
            sys.stdout.write(f"--deselect={fields[0]}\n")


if __name__ == "__main__":
    main()
