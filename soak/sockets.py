"""Finds out which process a connection on this machine belongs to.

It asks the kernel by ``sock_diag(7)``: reading all of ``/proc/net/tcp`` takes
milliseconds for each connection.
"""

import socket
import struct
from pathlib import Path

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = NO_COOKIE = 0xFFFFFFFF
HEADER = struct.Struct("=IHHII")
REQUEST = struct.Struct("=BBBBI")
PORTS = struct.Struct("!HH")
INODE_OFFSET = HEADER.size + 4 + 48 + 16
"""After the state, the socket's id, and four numbers."""


def inode_of(client: tuple[str, int], server: tuple[str, int]) -> int | None:
    """Return the inode of the client's socket of a connection, if it is open."""
    pad = bytes(12)
    body = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES)
    body += PORTS.pack(client[1], server[1])
    body += socket.inet_aton(client[0]) + pad + socket.inet_aton(server[0]) + pad
    body += struct.pack("=III", 0, NO_COOKIE, NO_COOKIE)
    length = HEADER.size + len(body)
    header = HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    kernel = socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG)
    with kernel:
        kernel.send(header + body)
        answer = kernel.recv(4096)
    _, kind, _, _, _ = HEADER.unpack_from(answer)
    if kind != SOCK_DIAG_BY_FAMILY:
        return None
    (inode,) = struct.unpack_from("=I", answer, INODE_OFFSET)
    return inode


def has_socket(process: int, inode: int) -> bool:
    """Return whether a process has a socket open."""
    try:
        files = list(Path(f"/proc/{process}/fd").iterdir())
    except FileNotFoundError:
        # The process has ended.
        return False
    return any(_target(each) == f"socket:[{inode}]" for each in files)


def _target(file: Path) -> str:
    try:
        return str(file.readlink())
    except FileNotFoundError:
        # The process has closed the file since it was listed.
        return ""
