"""Writers of streamed and unstreamed responses to model calls."""

from twisted.web.iweb import IRequest

from pomeloglade_coordination.refusals import Refusal

from ..protocol import completions
from ..state.call import Token, Usage

JSON_TYPE = "application/json"
STREAM_TYPE = "text/event-stream"


def write_refusal(http: IRequest, refusal: Refusal, request_id: str) -> bytes:
    """Set the status and headers of a refusal and return its body."""
    http.setResponseCode(completions.http_status(refusal))
    http.setHeader("Content-Type", JSON_TYPE)
    retry_after = completions.retry_after_seconds(refusal)
    if retry_after is not None:
        http.setHeader("Retry-After", str(retry_after))
    body = completions.encode_refusal(refusal, request_id)
    return with_content_length(http, body)


def with_content_length(http: IRequest, body: bytes) -> bytes:
    """Set ``Content-Length``, so that the caller can detect a truncated body."""
    http.setHeader("Content-Length", str(len(body)))
    return body


class StreamedAnswer:
    """Sends tokens, and a refusal after the first token, as server-sent events.

    The site finishes the HTTP request once the task has ended.
    """

    def __init__(self, http: IRequest, request_id: str, model: str, chat: bool) -> None:
        self._http = http
        self._request_id = request_id
        self._model = model
        self._chat = chat
        self._started = False

    def send_token(self, token: Token) -> None:
        """Send the next token."""
        self._start()
        self._http.write(
            completions.encode_token(
                token, self._request_id, self._model, chat=self._chat
            )
        )

    def finish(self, usage: Usage) -> None:
        """Send the end of a complete response."""
        self._start()
        self._http.write(
            completions.encode_end(
                usage, self._request_id, self._model, chat=self._chat
            )
        )

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal; a stream that has started then ends without ``[DONE]``."""
        if self._started:
            body = completions.encode_refusal(refusal, self._request_id)
            self._http.write(completions.encode_event(body))
        else:
            self._http.write(write_refusal(self._http, refusal, self._request_id))

    def _start(self) -> None:
        if not self._started:
            self._http.setHeader("Content-Type", STREAM_TYPE)
            self._http.setHeader("Cache-Control", "no-store")
            self._started = True


class BufferedAnswer:
    """Collects the tokens and sends them as one JSON body."""

    def __init__(self, http: IRequest, request_id: str, model: str, chat: bool) -> None:
        self._http = http
        self._request_id = request_id
        self._model = model
        self._chat = chat
        self._texts: list[str] = []

    def send_token(self, token: Token) -> None:
        """Collect the next token."""
        self._texts.append(token.text)

    def finish(self, usage: Usage) -> None:
        """Send the complete response."""
        text = "".join(self._texts)
        self._http.setHeader("Content-Type", JSON_TYPE)
        body = completions.encode_answer(
            text, usage, self._request_id, self._model, chat=self._chat
        )
        self._http.write(with_content_length(self._http, body))

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal and discard the collected tokens."""
        self._http.write(write_refusal(self._http, refusal, self._request_id))
