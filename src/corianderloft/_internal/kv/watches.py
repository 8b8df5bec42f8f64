"""One watch: a streamed reply with one JSON object a line."""

import collections

import httpcore
import orjson
import trio

from corianderloft._internal.kv import codec
from corianderloft._internal.kv import connections
from corianderloft._internal.kv import interface
from corianderloft._internal.models import ids
from corianderloft._internal.settings import kv as kv_settings

HTTP_OK = 200


class Watch:
    """Iterator over the changes below a prefix; ends after `WatchEnded`.

    Parameters
    ----------
    keeper : Connections
        Makes the request.
    conn : AsyncHTTPConnection
        Connection for this watch alone; the caller closes it.
    prefix : str
        Prefix of the keys.
    after : Revision
        Only later changes are delivered.
    settings : KvSettings
        Section ``kv`` of the settings.
    """

    def __init__(
        self,
        keeper: connections.Connections,
        conn: httpcore.AsyncHTTPConnection,
        prefix: str,
        after: ids.Revision,
        settings: kv_settings.KvSettings,
    ) -> None:
        self._keeper = keeper
        self._conn = conn
        self._prefix = prefix
        self._revision = after
        self._settings = settings
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
        """Wait for the next bytes, or end the watch."""
        silence = self._settings.watch_silence
        try:
            with trio.fail_after(silence):
                if self._chunks is None:
                    await self._start()
                else:
                    self._feed(await anext(self._chunks))
        except trio.TooSlowError:
            self._end(f'silent for {silence} s')
        except StopAsyncIteration:
            self._end('closed by the service')
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            self._end(repr(exc))

    async def _start(self) -> None:
        create = codec.prefix_range(self._prefix) | {
            'start_revision': str(self._revision + 1),
            'progress_notify': True,
        }
        req = self._keeper.request(
            '/v3/watch',
            orjson.dumps({'create_request': create}),
            connections.SendTrace(),
        )
        response = await self._conn.handle_async_request(req)
        if response.status != HTTP_OK:
            self._end(f'refused with status {response.status}')
            return
        self._chunks = response.aiter_stream()

    def _feed(self, chunk: bytes) -> None:
        *lines, self._partial = (self._partial + chunk).split(b'\n')
        for line in filter(None, lines):
            if not self._ended:
                self._take_line(line)

    def _take_line(self, line: bytes) -> None:
        message = codec.decode(line)
        if message is None or 'result' not in message:
            self._end(f'malformed message {line[:80]!r}')
            return
        result = message['result']
        if result.get('canceled'):
            compacted = result.get('compact_revision', '0')
            self._end(f'cancelled; history begins at {compacted}')
            return
        self._items.extend(map(codec.watch_event, result.get('events', ())))
        if not result.get('created'):
            self._revision = codec.revision(result)

    def _end(self, detail: str) -> None:
        self._ended = True
        self._items.append(
            interface.WatchEnded(
                f'watch of {self._prefix!r}: {detail}', self._revision
            )
        )
