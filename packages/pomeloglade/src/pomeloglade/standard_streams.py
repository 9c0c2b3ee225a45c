"""Standard streams of a process that was started without some of them."""

import os

STDOUT = 1
STDERR = 2


def open_missing_streams() -> None:
    """Open the null device in place of each standard stream that is closed.

    The next socket would otherwise get the number of a closed stream, and with it the
    lines that are meant for the stream.
    """
    for descriptor in range(STDERR + 1):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest number that is free is this one.
            os.open(os.devnull, os.O_RDWR)
