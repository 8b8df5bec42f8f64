"""Records the response to one request and verifies its content."""

import typing

import orjson
import trio

from corianderloft._internal.load import bodies
from corianderloft._internal.load import events
from corianderloft._internal.load import outcomes
from corianderloft._internal.load import schedule
from corianderloft._internal.load import workload

HTTP_OK = 200

Kind = outcomes.OutcomeKind
Json = dict[str, typing.Any]


class ResponseRecorder:
    """Records what one request has received, over all its connections.

    Parameters
    ----------
    arrival : Arrival
        The request.
    prepared : PreparedRequest
        The request as sent.
    identity : str
        Request ID.
    scheduled : float
        Scheduled time of sending, in trio's clock time.

    Attributes
    ----------
    outcome : Outcome
        How the request ended.
    ended : bool
        Whether the request has ended, successfully or not.
    model : str
        Model version that serves the request.
    """

    def __init__(
        self,
        arrival: schedule.Arrival,
        prepared: bodies.PreparedRequest,
        identity: str,
        scheduled: float,
    ) -> None:
        self.outcome = outcomes.Outcome(arrival)
        self.ended = False
        self.model = ''
        self._prepared = prepared
        self._identity = identity
        self._scheduled = scheduled
        self._text: list[str] = []

    def elapsed(self) -> float:
        """Return the time since the scheduled time, in seconds."""
        return trio.current_time() - self._scheduled

    def end(self, kind: Kind, detail: str = '', run: str = '') -> None:
        """Record how the request ended."""
        self.ended = True
        self.outcome.kind = kind
        self.outcome.detail = detail
        self.outcome.run = run
        self.outcome.total = self.elapsed()

    def record_whole(self, status: int, raw: bytes) -> None:
        """Record a response that was not streamed."""
        body = _json(raw)
        if status != HTTP_OK:
            self._record_refusal(status, body)
        elif self.outcome.arrival.load_class.call is workload.CallKind.CHAT:
            self._record_completion(body)
        elif self._identity in (body.get('booking'), body.get('item')):
            self.end(Kind.COMPLETE)
        else:
            self.end(Kind.WRONG, 'the answer is not for this call')

    def _record_completion(self, body: Json) -> None:
        self.model = str(body.get('model', ''))
        choice = (body.get('choices') or [{}])[0]
        self._text = [choice.get('message', {}).get('content', '')]
        usage = body.get('usage') or {}
        self.outcome.tokens = int(usage.get('completion_tokens', 0))
        self._verify()

    def _record_refusal(self, status: int, body: Json) -> None:
        error = body.get('error')
        fields = error if isinstance(error, dict) else {}
        reason = fields.get('reason') or fields.get('code') or status
        self.end(Kind.REFUSED, str(reason), str(fields.get('run', '')))

    def record_event(self, event: events.Event) -> None:
        """Record one event of a streamed response."""
        if event.kind == b'error':
            self._record_refusal(HTTP_OK, _json(event.data))
        elif event.data == events.DONE:
            self._verify()
        else:
            self._record_token(event)

    def _record_token(self, event: events.Event) -> None:
        body = _json(event.data)
        self.model = str(body.get('model', self.model))
        choice = (body.get('choices') or [{}])[0]
        content = choice.get('delta', {}).get('content')
        if not content:
            return
        outcome = self.outcome
        if event.number is not None and event.number <= outcome.tokens:
            outcome.repeated_tokens += 1
            return
        outcome.token_times.append(self.elapsed())
        outcome.tokens += 1
        self._text.append(content)

    def _verify(self) -> None:
        """Compare the received text with the expected completion."""
        outcome = self.outcome
        expected = bodies.expected_completion(
            outcome.arrival, self._prepared, self.model
        )
        if ''.join(self._text) == expected.text():
            self.end(Kind.COMPLETE)
            return
        self.end(
            Kind.WRONG,
            f'{outcome.tokens} of {expected.length} tokens, or others',
        )


def _json(raw: bytes) -> Json:
    try:
        body = orjson.loads(raw)
    except orjson.JSONDecodeError:
        return {}
    return body if isinstance(body, dict) else {}
