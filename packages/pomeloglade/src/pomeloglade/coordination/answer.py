"""Interface that receives the answer to a model call."""

from typing import Protocol

from pomeloglade_coordination.refusals import Refusal

from ..state.call import Token, Usage


class AnswerSink(Protocol):
    """Receives the answer to one model call, in order."""

    def send_token(self, token: Token) -> None:
        """Receive the next token."""

    def finish(self, usage: Usage) -> None:
        """End the answer after its last token."""

    def refuse(self, refusal: Refusal) -> None:
        """End with a refusal, instead of the answer or of the rest of it."""
