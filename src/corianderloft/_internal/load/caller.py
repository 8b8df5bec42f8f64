"""One request of a load run, from its scheduled time to its end."""

import dataclasses
import typing

import httpcore
import orjson
import trio

from corianderloft._internal.load import addresses
from corianderloft._internal.load import bodies
from corianderloft._internal.load import events
from corianderloft._internal.load import outcomes
from corianderloft._internal.load import schedule
from corianderloft._internal.load import workload

HTTP_OK = 200
MAX_ADDRESSES_TRIED = 4

Kind = outcomes.OutcomeKind


@dataclasses.dataclass(frozen=True)
class Unreached:
    """No connection to an address could be opened."""

    detail: str


class CallerRequest:
    """Sends one request and takes its answer in.

    Parameters
    ----------
    arrival : Arrival
        The request.
    scheduled : float
        When it was to be sent, on trio's clock, in seconds.
    book : AddressBook
        Addresses and connections of its caller.
    run_id : str
        Identity of the run.
    """

    def __init__(
        self,
        arrival: schedule.Arrival,
        scheduled: float,
        book: addresses.AddressBook,
        run_id: str,
    ) -> None:
        self._scheduled = scheduled
        self._book = book
        self._identity = bodies.request_id(arrival, run_id)
        self._prepared = bodies.prepare(arrival, run_id)
        self._outcome = outcomes.Outcome(arrival)
        self._text: list[str] = []
        self._model = ''
        self._done = False

    async def run(self) -> outcomes.Outcome:
        """Return how the request ended."""
        outcome = self._outcome
        outcome.start_lag = self._elapsed()
        timeout = outcome.arrival.load_class.timeout
        with trio.move_on_at(self._scheduled + timeout) as scope:
            await self._try_addresses()
        if scope.cancelled_caught:
            self._end(Kind.TIMEOUT, f'no end within {timeout} s')
        return outcome

    def _elapsed(self) -> float:
        return trio.current_time() - self._scheduled

    def _end(self, kind: Kind, detail: str = '', run: str = '') -> None:
        self._outcome.kind = kind
        self._outcome.detail = detail
        self._outcome.run = run
        self._outcome.total = self._elapsed()

    async def _try_addresses(self) -> None:
        """Go on to the next address only while none was reached."""
        endpoints = await self._book.endpoints()
        detail = 'no address'
        for endpoint in endpoints[:MAX_ADDRESSES_TRIED]:
            unreached = await self._try(endpoint)
            if unreached is None:
                return
            self._outcome.switched += 1
            self._book.forget()
            detail = unreached.detail
        self._end(Kind.UNREACHABLE, detail)

    async def _try(self, endpoint: workload.Endpoint) -> Unreached | None:
        conn = self._book.take(endpoint)
        try:
            await self._exchange(endpoint, conn)
            self._book.give_back(endpoint, conn)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            return Unreached(repr(exc))
        except addresses.FAILURES as exc:
            self._end(Kind.CUT, repr(exc))
        finally:
            if not conn.is_available():
                with trio.CancelScope(shield=True):
                    await conn.aclose()
        return None

    async def _exchange(
        self,
        endpoint: workload.Endpoint,
        conn: httpcore.AsyncHTTPConnection,
    ) -> None:
        prepared = self._prepared
        headers = addresses.host_header(endpoint) + prepared.headers
        if prepared.body:
            length = str(len(prepared.body)).encode()
            headers.append((b'content-length', length))
        url = httpcore.URL(
            f'http://{endpoint.address}:{endpoint.port}{prepared.path}'
        )
        async with conn.stream(
            prepared.method, url, headers=headers, content=prepared.body
        ) as response:
            if _is_stream(response):
                await self._read_stream(response)
            else:
                body = await response.aread()
                self._take_whole(response.status, body)

    def _take_whole(self, status: int, raw: bytes) -> None:
        body = _json(raw)
        if status != HTTP_OK:
            self._refused(status, body)
            return
        if self._outcome.arrival.load_class.call is workload.CallKind.CHAT:
            self._take_completion(body)
        elif self._identity in (body.get('booking'), body.get('item')):
            self._end(Kind.COMPLETE)
        else:
            self._end(Kind.WRONG, 'the answer is not for this call')

    def _take_completion(self, body: dict[str, typing.Any]) -> None:
        self._model = str(body.get('model', ''))
        choice = (body.get('choices') or [{}])[0]
        self._text = [choice.get('message', {}).get('content', '')]
        usage = body.get('usage') or {}
        self._outcome.tokens = int(usage.get('completion_tokens', 0))
        self._end(*self._verdict())

    def _refused(self, status: int, body: dict[str, typing.Any]) -> None:
        error = body.get('error')
        fields = error if isinstance(error, dict) else {}
        reason = fields.get('reason') or fields.get('code') or status
        self._end(Kind.REFUSED, str(reason), str(fields.get('run', '')))

    async def _read_stream(self, response: httpcore.Response) -> None:
        reader = events.EventReader()
        async for chunk in response.aiter_stream():
            now = self._elapsed()
            for event in reader.feed(chunk):
                self._take_event(event, now)
        if self._outcome.kind is Kind.REFUSED:
            return
        if not self._done:
            self._end(Kind.CUT, 'the stream ended before [DONE]')
            return
        self._end(*self._verdict())

    def _take_event(self, event: events.Event, now: float) -> None:
        if event.kind == b'error':
            self._refused(0, _json(event.data))
            return
        if event.data == events.DONE:
            self._done = True
            return
        body = _json(event.data)
        self._model = str(body.get('model', self._model))
        choice = (body.get('choices') or [{}])[0]
        content = choice.get('delta', {}).get('content')
        if not content:
            return
        times = self._outcome.token_times
        if event.number is not None and event.number <= len(times):
            self._outcome.repeated_tokens += 1
        times.append(now)
        self._outcome.tokens += 1
        self._text.append(content)

    def _verdict(self) -> tuple[Kind, str]:
        """Compare the answer with the one that the request must get."""
        arrival = self._outcome.arrival
        expected = bodies.expected_answer(arrival, self._prepared, self._model)
        if ''.join(self._text) == expected.text():
            return Kind.COMPLETE, ''
        return (
            Kind.WRONG,
            f'{self._outcome.tokens} of {expected.length} tokens, or others',
        )


def _is_stream(response: httpcore.Response) -> bool:
    return any(
        name.lower() == b'content-type'
        and value.startswith(b'text/event-stream')
        for name, value in response.headers
    )


def _json(raw: bytes) -> dict[str, typing.Any]:
    try:
        body = orjson.loads(raw)
    except orjson.JSONDecodeError:
        return {}
    return body if isinstance(body, dict) else {}
