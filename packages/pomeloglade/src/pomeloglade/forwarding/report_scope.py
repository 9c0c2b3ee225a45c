"""Where an instance has its news from, which decides to whom it passes them on."""

import enum


class ReportScope(enum.IntEnum):
    """Whose news something is, as seen by the instance that knows it.

    A member reports its own to its contact, a contact those of its group to the other
    contacts, and those of the whole fleet to its members.
    """

    OWN = 0
    GROUP = 1
    FLEET = 2
