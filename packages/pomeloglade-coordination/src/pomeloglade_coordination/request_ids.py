"""Request ids that contain the instance and incarnation that issued them."""

from dataclasses import dataclass

from .members import Member

SEPARATOR = "."


@dataclass(frozen=True, slots=True)
class RequestId:
    """The id of one attempt at a request.

    >>> str(RequestId("entry-1", 3, 17))
    'entry-1.3.17'
    >>> RequestId.parse("entry-1.3.17").incarnation
    3
    """

    instance: str
    incarnation: int
    sequence: int

    @classmethod
    def parse(cls, text: str) -> "RequestId | None":
        """Return the id written as ``text``, ``None`` if it is malformed."""
        instance, *numbers = text.rsplit(SEPARATOR, 2)
        if not instance or len(numbers) != 2:
            return None
        if not all(each.isascii() and each.isdigit() for each in numbers):
            return None
        return cls(instance, int(numbers[0]), int(numbers[1]))

    def __str__(self) -> str:
        return f"{self.instance}{SEPARATOR}{self.incarnation}{SEPARATOR}{self.sequence}"


class RequestIds:
    """Issues unique request ids for one incarnation of an instance."""

    def __init__(self, own: Member) -> None:
        self._own = own
        self._sequence = 0

    def issue(self) -> RequestId:
        """Return a new, unique id."""
        self._sequence += 1
        return RequestId(self._own.instance, self._own.incarnation, self._sequence)
