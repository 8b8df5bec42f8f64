"""One request of a load run, from its scheduled time to its end.

A caller tries the next address when one can't be reached. When a connection
is lost, it requests the rest of the response: first from the same host, which
may still be running the request, then from another one.
"""

import httpcore
import trio

from corianderloft._internal.load import addresses
from corianderloft._internal.load import bodies
from corianderloft._internal.load import events
from corianderloft._internal.load import outcomes
from corianderloft._internal.load import responses
from corianderloft._internal.load import schedule
from corianderloft._internal.load import workload

MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.1

Kind = outcomes.OutcomeKind


class CallerRequest:
    """Sends one request and records its response.

    Parameters
    ----------
    arrival : Arrival
        The request.
    scheduled : float
        Scheduled time of sending, in trio's clock time.
    book : AddressBook
        Addresses and connections of the caller.
    run_id : str
        ID of the run.
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
        self._prepared = bodies.prepare_request(arrival, run_id)
        self._recorder = responses.ResponseRecorder(
            arrival, self._prepared, self._identity, scheduled
        )
        self._failed_endpoints: set[workload.Endpoint] = set()

    async def run(self) -> outcomes.Outcome:
        """Send the request and return its outcome."""
        recorder = self._recorder
        recorder.outcome.start_lag = recorder.elapsed()
        with trio.move_on_at(self._deadline) as scope:
            await self._try_addresses()
        if scope.cancelled_caught and not recorder.ended:
            recorder.end(
                Kind.TIMEOUT,
                f'no end within {self._class.timeout} s',
            )
        return recorder.outcome

    async def _try_addresses(self) -> None:
        """Try one address after another until the request has ended."""
        outcome = self._recorder.outcome
        last_error: Exception | None = None
        for _ in range(MAX_ATTEMPTS):
            endpoint = await self._next_endpoint()
            try:
                await self._send_to(endpoint)
                return
            except (httpcore.ConnectError, httpcore.ConnectTimeout):
                outcome.failed_connects += 1
            except addresses.CONNECTION_ERRORS as exc:
                last_error = exc
                if not self._class.resume:
                    break
                outcome.resumed += 1
                if await self._reattach(endpoint):
                    return
            self._failed_endpoints.add(endpoint)
            self._book.invalidate()
            await trio.sleep(RETRY_DELAY_S)
        if last_error is None:
            self._recorder.end(Kind.UNREACHABLE, 'no address could be reached')
        else:
            self._recorder.end(Kind.CUT, repr(last_error))

    async def _next_endpoint(self) -> workload.Endpoint:
        """Return the best address that has not failed for this request yet."""
        endpoints = await self._book.endpoints()
        untried = [
            item for item in endpoints if item not in self._failed_endpoints
        ]
        if not untried:
            self._failed_endpoints.clear()
        return (untried or endpoints)[0]

    async def _send_to(self, endpoint: workload.Endpoint) -> None:
        """Send the request, or the rest of it, to one address.

        Raises
        ------
        One of `addresses.CONNECTION_ERRORS`
            The connection failed or timed out.
        """
        prepared = bodies.resume_request(
            self._prepared, self._recorder.outcome.tokens, self._recorder.model
        )
        await self._send_request(endpoint, prepared, require_stream=False)

    async def _reattach(self, endpoint: workload.Endpoint) -> bool:
        """Fetch the rest of a stream from the same host; False if it fails."""
        if self._class.call is not workload.CallKind.CHAT:
            return False
        if not self._class.stream:
            return False
        last_token = self._recorder.outcome.tokens
        prepared = bodies.reattach_request(
            self._prepared, self._identity, last_token
        )
        try:
            await self._send_request(endpoint, prepared, require_stream=True)
        except addresses.CONNECTION_ERRORS:
            return False
        return self._recorder.ended

    async def _send_request(
        self,
        endpoint: workload.Endpoint,
        prepared: bodies.PreparedRequest,
        require_stream: bool,
    ) -> None:
        """Send one HTTP request and record its response.

        Parameters
        ----------
        endpoint : Endpoint
            Address to send to.
        prepared : PreparedRequest
            Request to send.
        require_stream : bool
            Whether responses that are not streams are ignored.
        """
        conn = self._book.acquire(endpoint)
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
                    if not require_stream:
                        self._recorder.record_whole(response.status, body)
            self._book.release(endpoint, conn)
        finally:
            if not conn.is_available():
                with trio.CancelScope(shield=True):
                    await conn.aclose()

    async def _read_stream(self, response: httpcore.Response) -> None:
        reader = events.EventReader()
        chunks = response.aiter_stream()
        # The first token may be delayed by queueing, so the silence timeout
        # applies only from the second chunk on.
        chunk = await anext(chunks, b'')
        while chunk:
            for event in reader.feed(chunk):
                self._recorder.record_event(event)
            with trio.fail_after(self._class.silence):
                chunk = await anext(chunks, b'')
        if not self._recorder.ended:
            raise httpcore.RemoteProtocolError(
                'stream ended without an end marker'
            )


def _url(endpoint: workload.Endpoint, path: str) -> httpcore.URL:
    return httpcore.URL(f'http://{endpoint.address}:{endpoint.port}{path}')


def _headers(
    endpoint: workload.Endpoint, prepared: bodies.PreparedRequest
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
