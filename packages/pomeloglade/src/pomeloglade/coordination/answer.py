"""Where a request's answer goes."""

from typing import Protocol

from pomeloglade_coordination.refusals import Refusal

from ..state.call import Token, Usage


class AnswerSink(Protocol):
    """Receives the answer to one model call, in order."""

    def token(self, token: Token) -> None:
        """Take the next token."""

    def finish(self, usage: Usage) -> None:
        """Take the end of a whole answer."""

    def refuse(self, refusal: Refusal) -> None:
        """Take a refusal in place of the answer or of its remainder."""
