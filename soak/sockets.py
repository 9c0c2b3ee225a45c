"""Finds out which process a connection on this machine belongs to."""

from pathlib import Path

LOCAL_ADDRESS, INODE = 1, 9
"""Columns of ``/proc/net/tcp``."""


def owns_port(process: int, port: int) -> bool:
    """Return whether a process has a TCP socket with a local port."""
    suffix = f":{port:04X}"
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    inodes = {
        fields[INODE]
        for fields in map(str.split, lines)
        if fields[LOCAL_ADDRESS].endswith(suffix)
    }
    sockets = {f"socket:[{inode}]" for inode in inodes}
    try:
        files = list(Path(f"/proc/{process}/fd").iterdir())
        return any(_target(each) in sockets for each in files)
    except FileNotFoundError:
        # The process has ended.
        return False


def _target(file: Path) -> str:
    try:
        return str(file.readlink())
    except FileNotFoundError:
        # The process has closed the file since it was listed.
        return ""
