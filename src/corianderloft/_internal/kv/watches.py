"""Watch of etcd: a streamed reply with one JSON object per line."""

import collections
import collections.abc

import httpcore
import trio

from corianderloft._internal.kv import codec
from corianderloft._internal.kv import connections
from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface
from corianderloft._internal.metrics import control
from corianderloft._internal.models import ids

HTTP_OK = 200

SendRequest = collections.abc.Callable[
    [codec.Json],
    collections.abc.Awaitable[httpcore.Response | interface.Unavailable],
]


class Watch:
    """Iterator over the changes of keys with a prefix.

    It ends after one `WatchEnded`.

    Parameters
    ----------
    send_request : callable
        Sends the watch request.
    read_era : callable
        Returns the era that the headers of a reply state; raises
        `ValueError` if it is malformed.
    prefix : str
        Prefix of the keys.
    after : Revision
        Only changes after this revision are delivered.
    silence_timeout : float
        Time without data after which the watch ends, in seconds.

    Attributes
    ----------
    received_any : bool
        Whether any message was received.
    """

    def __init__(
        self,
        send_request: SendRequest,
        read_era: collections.abc.Callable[[connections.Headers], ids.Era],
        prefix: str,
        after: ids.Revision,
        silence_timeout: float,
    ) -> None:
        self.received_any = False
        self._send_request = send_request
        self._read_era = read_era
        self._era = eras.era_of(after)
        self._prefix = prefix
        self._revision = after
        self._silence_timeout = silence_timeout
        self._chunks: collections.abc.AsyncIterator[bytes] | None = None
        self._partial = b''
        self._items: collections.deque[interface.WatchItem] = (
            collections.deque()
        )
        self._ended = False

    def __aiter__(self) -> 'Watch':
        return self

    async def __anext__(self) -> interface.WatchItem:
        while not self._items:
            if self._ended:
                raise StopAsyncIteration
            await self._receive()
        return self._items.popleft()

    async def _receive(self) -> None:
        """Wait for the next data, or end the watch."""
        try:
            if self._chunks is None:
                self._chunks = await self._open()
                return
            with trio.fail_after(self._silence_timeout):
                self._handle_chunk(await anext(self._chunks))
        except trio.TooSlowError:
            self._end('the service went silent')
        except StopAsyncIteration:
            self._end('closed by the service')
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            self._end(repr(exc))

    async def _open(
        self,
    ) -> collections.abc.AsyncIterator[bytes] | None:
        create = codec.prefix_range(self._prefix) | {
            'start_revision': str(eras.counter_of(self._revision) + 1),
            'progress_notify': True,
        }
        response = await self._send_request({'create_request': create})
        if isinstance(response, interface.Unavailable):
            self._end(response.detail)
            return None
        if response.status != HTTP_OK:
            self._end(f'refused with status {response.status}')
            return None
        try:
            era = self._read_era(response.headers)
        except ValueError as exc:
            self._end(f'malformed era: {exc}')
            return None
        if self._revision and era != self._era:
            self._end(eras.RESTORED)
            return None
        self._era = era
        return response.aiter_stream()

    def _handle_chunk(self, chunk: bytes) -> None:
        control.count_bytes(control.Direction.RECEIVED, len(chunk))
        *lines, self._partial = (self._partial + chunk).split(b'\n')
        for line in filter(None, lines):
            if not self._ended:
                self._handle_line(line)

    def _handle_line(self, line: bytes) -> None:
        message = codec.decode(line)
        if message is None or 'result' not in message:
            self._end(f'malformed message {line[:80]!r}')
            return
        result = message['result']
        self.received_any = True
        if result.get('canceled'):
            compacted = result.get('compact_revision', '0')
            self._end(f'cancelled; history begins at {compacted}')
            return
        self._items.extend(
            codec.watch_event(event, self._era)
            for event in result.get('events', ())
        )
        if not result.get('created'):
            answer = codec.Answer(result, self._era)
            self._revision = codec.revision(answer)

    def _end(self, detail: str) -> None:
        self._ended = True
        self._items.append(
            interface.WatchEnded(
                f'watch of {self._prefix!r}: {detail}', self._revision
            )
        )
