"""Takes the answer to one request in, and judges it."""

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


class AnswerTaker:
    """What one caller has received so far, over all its connections.

    Parameters
    ----------
    arrival : Arrival
        The request.
    prepared : Prepared
        What was sent.
    identity : str
        Request id.
    scheduled : float
        When it was to be sent, on trio's clock, in seconds.

    Attributes
    ----------
    outcome : Outcome
        How the request ended.
    ended : bool
        Whether it ended, well or not.
    model : str
        Model version that answers.
    """

    def __init__(
        self,
        arrival: schedule.Arrival,
        prepared: bodies.Prepared,
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
        """Note how the request ended."""
        self.ended = True
        self.outcome.kind = kind
        self.outcome.detail = detail
        self.outcome.run = run
        self.outcome.total = self.elapsed()

    def take_whole(self, status: int, raw: bytes) -> None:
        """Take in an answer that came in one piece."""
        body = _json(raw)
        if status != HTTP_OK:
            self._refused(status, body)
        elif self.outcome.arrival.load_class.call is workload.CallKind.CHAT:
            self._take_completion(body)
        elif self._identity in (body.get('booking'), body.get('item')):
            self.end(Kind.COMPLETE)
        else:
            self.end(Kind.WRONG, 'the answer is not for this call')

    def _take_completion(self, body: Json) -> None:
        self.model = str(body.get('model', ''))
        choice = (body.get('choices') or [{}])[0]
        self._text = [choice.get('message', {}).get('content', '')]
        usage = body.get('usage') or {}
        self.outcome.tokens = int(usage.get('completion_tokens', 0))
        self._judge()

    def _refused(self, status: int, body: Json) -> None:
        error = body.get('error')
        fields = error if isinstance(error, dict) else {}
        reason = fields.get('reason') or fields.get('code') or status
        self.end(Kind.REFUSED, str(reason), str(fields.get('run', '')))

    def take_event(self, event: events.Event) -> None:
        """Take in one event of a streamed answer."""
        if event.kind == b'error':
            self._refused(HTTP_OK, _json(event.data))
        elif event.data == events.DONE:
            self._judge()
        else:
            self._take_token(event)

    def _take_token(self, event: events.Event) -> None:
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

    def _judge(self) -> None:
        """Compare the answer with the one that the request must get."""
        outcome = self.outcome
        expected = bodies.expected_answer(
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
