"""One request of a load run, from its scheduled time to its end.

A caller goes on to the next address when one can't be reached, and when its
connection is lost it asks for the rest: first the same host, which may still
run the request, then another one.
"""

import httpcore
import trio

from corianderloft._internal.load import addresses
from corianderloft._internal.load import answers
from corianderloft._internal.load import bodies
from corianderloft._internal.load import events
from corianderloft._internal.load import outcomes
from corianderloft._internal.load import schedule
from corianderloft._internal.load import workload

MAX_ATTEMPTS = 6
RETRY_PAUSE = 0.1  # s

Kind = outcomes.OutcomeKind


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
        self._class = arrival.load_class
        self._book = book
        self._deadline = scheduled + self._class.timeout
        self._identity = bodies.request_id(arrival, run_id)
        self._prepared = bodies.prepare(arrival, run_id)
        self._taker = answers.AnswerTaker(
            arrival, self._prepared, self._identity, scheduled
        )
        self._failed: set[workload.Endpoint] = set()

    async def run(self) -> outcomes.Outcome:
        """Return how the request ended."""
        taker = self._taker
        taker.outcome.start_lag = taker.elapsed()
        with trio.move_on_at(self._deadline) as scope:
            await self._attempts()
        if scope.cancelled_caught and not taker.ended:
            taker.end(Kind.TIMEOUT, f'no end within {self._class.timeout} s')
        return taker.outcome

    async def _attempts(self) -> None:
        """Try address after address until the request has ended."""
        outcome = self._taker.outcome
        lost: Exception | None = None
        for _ in range(MAX_ATTEMPTS):
            endpoint = await self._next_endpoint()
            try:
                await self._attempt(endpoint)
                return
            except (httpcore.ConnectError, httpcore.ConnectTimeout):
                outcome.switched += 1
            except addresses.FAILURES as exc:
                lost = exc
                if not self._class.resume:
                    break
                outcome.resumed += 1
                if await self._rejoined(endpoint):
                    return
            self._failed.add(endpoint)
            self._book.forget()
            await trio.sleep(RETRY_PAUSE)
        if lost is None:
            self._taker.end(Kind.UNREACHABLE, 'no address could be reached')
        else:
            self._taker.end(Kind.CUT, repr(lost))

    async def _next_endpoint(self) -> workload.Endpoint:
        """Return the best address that has not failed this request yet."""
        endpoints = await self._book.endpoints()
        fresh = [item for item in endpoints if item not in self._failed]
        if not fresh:
            self._failed.clear()
        return (fresh or endpoints)[0]

    async def _attempt(self, endpoint: workload.Endpoint) -> None:
        """Send the request; raises when the connection fails."""
        prepared = bodies.go_on(
            self._prepared, self._taker.outcome.tokens, self._taker.model
        )
        await self._exchange(endpoint, prepared, streams_only=False)

    async def _rejoined(self, endpoint: workload.Endpoint) -> bool:
        """Ask the same host for the rest of a stream that it still runs."""
        if self._class.call is not workload.CallKind.CHAT:
            return False
        if not self._class.stream:
            return False
        received = self._taker.outcome.tokens
        prepared = bodies.rejoin(self._prepared, self._identity, received)
        try:
            await self._exchange(endpoint, prepared, streams_only=True)
        except addresses.FAILURES:
            return False
        return self._taker.ended

    async def _exchange(
        self,
        endpoint: workload.Endpoint,
        prepared: bodies.Prepared,
        streams_only: bool,
    ) -> None:
        """Send one HTTP request and take its answer in.

        Parameters
        ----------
        endpoint : Endpoint
            Where to.
        prepared : Prepared
            What is sent.
        needed : bool
            Whether only a stream counts as an answer.
        """
        conn = self._book.take(endpoint)
        try:
            async with conn.stream(
                prepared.method,
                _url(endpoint, prepared.path),
                headers=_headers(endpoint, prepared),
                content=prepared.body,
            ) as response:
                if _is_stream(response):
                    await self._read_stream(response)
                else:
                    body = await response.aread()
                    if not streams_only:
                        self._taker.take_whole(response.status, body)
            self._book.give_back(endpoint, conn)
        finally:
            if not conn.is_available():
                with trio.CancelScope(shield=True):
                    await conn.aclose()

    async def _read_stream(self, response: httpcore.Response) -> None:
        reader = events.EventReader()
        chunks = response.aiter_stream()
        # A request may wait long for its first token, but not for the next.
        chunk = await anext(chunks, b'')
        while chunk:
            for event in reader.feed(chunk):
                self._taker.take_event(event)
            with trio.fail_after(self._class.silence):
                chunk = await anext(chunks, b'')
        if not self._taker.ended:
            raise httpcore.RemoteProtocolError('a stream without its end')


def _url(endpoint: workload.Endpoint, path: str) -> httpcore.URL:
    return httpcore.URL(f'http://{endpoint.address}:{endpoint.port}{path}')


def _headers(
    endpoint: workload.Endpoint, prepared: bodies.Prepared
) -> bodies.Headers:
    headers = addresses.host_header(endpoint) + prepared.headers
    if prepared.body:
        length = str(len(prepared.body)).encode()
        headers.append((b'content-length', length))
    return headers


def _is_stream(response: httpcore.Response) -> bool:
    return any(
        name.lower() == b'content-type'
        and value.startswith(b'text/event-stream')
        for name, value in response.headers
    )
