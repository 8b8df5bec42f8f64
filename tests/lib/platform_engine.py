"""Stand-in for a backend server of the users' platform, on raw sockets."""

import dataclasses
import math

import h11
import trio

SIGNATURE = 'Corianderloft-Response-Signature'


_HEAD = b'HTTP/1.1 200 OK\r\nCorianderloft-Response-Signature: s\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_ERROR = b'HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n'
_EVENT = b'id: 0\ndata: token 0\n\n'
ENDLESS = {
    'junk': (b'', b'\x00\x01 no answer'),
    'header': (_HEAD, b'X-Junk: 0123456789\r\n'),
    'header_line': (_HEAD + b'X-Junk: ', b'0123456789'),
    'informational': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'body': (_CHUNKED, b'10\r\n0123456789abcdef\r\n'),
    'body_until_close': (_HEAD + b'\r\n', b'0123456789abcdef'),
    'chunk_size': (_CHUNKED, b'0'),
    'tiny_chunks': (_CHUNKED, b'1\r\na\r\n'),
    'error': (_ERROR, b'2\r\nab\r\n'),
    'comments': (_CHUNKED, b'5\r\n: a\n\n\r\n'),
    'empty_events': (_CHUNKED, b'2\r\n\n\n\r\n'),
    'event': (
        _CHUNKED + b'%x\r\n%b\r\n' % (len(_EVENT), _EVENT),
        b'10\r\n0123456789abcdef\r\n',
    ),
}
"""Responses that do not end until the caller closes: the start, and the bytes
that are sent again and again."""


@dataclasses.dataclass
class ExecutedRequest:
    """A request that the server executed."""

    method: str
    target: str
    headers: dict
    body: bytes


class PlatformEngine:
    """A backend server whose mode selects normal or faulty responses.

    Attributes
    ----------
    mode : str
        ``whole``, ``stream``, ``error``, ``reject``, ``hang``, ``cut``,
        ``cut_stream``, ``unframed_stream``, ``half_event``, ``end_stream``
        and ``end_whole`` (the server ends in a response without a length),
        ``unsigned``, ``no_body``, ``twice``, ``reset``, ``by_path``, or
        ``endless`` with ``endless_kind``, a key of `ENDLESS`.
    endless_path : str
        Prefix of the paths with endless responses; others get a whole one.
    endless_pause : float
        Delay after each piece of an endless response in seconds. Without
        one, the pieces are sent in bulk.
    error_status : int
        Status of the responses in mode ``error``.
    crash_part : str
        ID of a prompt part. The server crashes when it begins a response to a
        request with this part.
    crash_body : bytes
        The server crashes when it runs a request with this body, in a stream
        after ``crash_events`` events.
    rate_limit : str
        Requests per second that responses name, if any.
    leaving : bool
        Whether responses say that the server leaves.
    retry_after : str
        Time that rejections name, if any.
    sent_bytes : int
        Bytes of endless responses sent so far.
    events : int
        Number of events in a stream.
    pause : float
        Delay between two events in seconds.
    stall : float
        Delay before a whole response, and in a stream before the event
        ``cut_after``, in seconds.
    may_end : Event, optional
        Awaited before the end of a stream without a length.
    ends_with_stream : bool
        Whether the server ends together with such a stream.
    connections : int
        Connections accepted so far.
    max_connections : int or None
        Number of them after which the server resets new ones.
    cut_after : int
        Event at which ``cut_stream`` truncates a stream.
    seen : list of ExecutedRequest
        Executed requests.
    seen_at : list of float
        When they arrived, on trio's clock.
    disconnects : int
        Requests whose caller disconnected during execution.
    """

    def __init__(self, engine_id, mode='whole'):
        self.engine_id = engine_id
        self.mode = mode
        self.events = 4
        self.pause = 0.0
        self.cut_after = 2
        self.stall = 0.0
        self.may_end = None
        self.ends_with_stream = True
        self.connections = 0
        self.max_connections = None
        self.seen = []
        self.seen_at = []
        self.disconnects = 0
        self.endless_kind = 'junk'
        self.endless_path = ''
        self.endless_pause = 0.0
        self.error_status = 500
        self.crash_part = ''
        self.crash_body = None
        self.crash_events = 0
        self.rate_limit = ''
        self.leaving = False
        self.retry_after = ''
        self.rejected_at = []
        self._scope = trio.CancelScope()
        self.sent_bytes = 0
        self._duplicate_response_due = set()
        self.port = 0

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve on a loopback port."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.port = listeners[0].socket.getsockname()[1]
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    trio.serve_listeners, self._connection, listeners
                )
                task_status.started(self.port)

    @property
    def crashed(self):
        """Whether the server has ended."""
        return self._scope.cancel_called

    async def _connection(self, stream):
        http = h11.Connection(h11.SERVER)
        self.connections += 1
        if self.connections > (self.max_connections or math.inf):
            await trio.aclose_forcefully(stream)
            return
        try:
            while await self._request(stream, http):
                http.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.disconnects += 1
        finally:
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await stream.aclose()

    async def _request(self, stream, http):
        req, body = None, b''
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                req = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        headers = {n.decode().lower(): v.decode() for n, v in req.headers}
        target = headers.get('corianderloft-target-instance')
        if target not in (None, self.engine_id):
            await self._respond(stream, http, headers, 421, b'', signed=False)
            return True
        if self.mode == 'reject':
            headers['not-run'] = '1'
            self.rejected_at.append(trio.current_time())
            await self._respond(stream, http, headers, 503, b'', signed=False)
            return True
        self.seen_at.append(trio.current_time())
        self.seen.append(
            ExecutedRequest(
                req.method.decode(), req.target.decode(), headers, body
            )
        )
        return await self._run(stream, http, headers)

    async def _run(self, stream, http, headers):
        mode = self._mode_for(self.seen[-1].target)
        crashes = self.seen[-1].body == self.crash_body
        if crashes and not self.crash_events:
            self._scope.cancel()
            return False
        if mode == 'hang':
            await stream.receive_some(1)
            self.disconnects += 1
            return False
        if mode == 'reset':
            return False
        if mode == 'no_body':
            request_id = headers['corianderloft-attempt-id'].encode()
            await stream.send_all(
                b'HTTP/1.1 204 No Content\r\n'
                b'Corianderloft-Response-Signature: s\r\n'
                b'Corianderloft-Attempt-Id: %b\r\n\r\n' % request_id
            )
            http.send(h11.Response(status_code=204, headers=[]))
            http.send(h11.EndOfMessage())
            return True
        if mode == 'endless':
            await self._send_endlessly(stream)
        if mode == 'end_whole':
            return await self._end_whole(stream, headers)
        if mode in ('unframed_stream', 'half_event', 'end_stream'):
            return await self._stream_until_close(stream, headers)
        if mode in ('stream', 'cut_stream'):
            return await self._stream(stream, http, headers, crashes)
        if mode == 'cut':
            await self._respond(stream, http, headers, 200, b'part', cut=True)
            return False
        if self.stall:
            await trio.sleep(self.stall)
        status = self.error_status if mode == 'error' else 200
        signed = mode != 'unsigned'
        body = f'answer of {self.engine_id}'.encode()
        await self._respond(stream, http, headers, status, body, signed=signed)
        if mode == 'twice':
            self._duplicate_response_due.add(http)
        return True

    async def _send_endlessly(self, stream):
        start, piece = ENDLESS[self.endless_kind]
        if not self.endless_pause:
            piece *= 4096 // len(piece)
        await stream.send_all(start)
        while True:
            await stream.send_all(piece)
            self.sent_bytes += len(piece)
            await trio.sleep(self.endless_pause)

    def _mode_for(self, target):
        """Return the mode for a path; ``by_path`` selects by its prefix."""
        streams = target.startswith(('/chat/', '/quote/'))
        if self.mode == 'by_path':
            return 'stream' if streams else 'whole'
        if self.mode == 'endless' and not target.startswith(self.endless_path):
            return 'whole'
        return self.mode

    async def _respond(
        self, stream, http, headers, status, body, signed=True, cut=False
    ):
        if http in self._duplicate_response_due:
            self._duplicate_response_due.discard(http)
            await self._send_duplicate_response(stream, headers)
        await self._send(stream, http, headers, status, body, signed, cut)

    async def _send_duplicate_response(self, stream, headers):
        """Send a late second response to an earlier request."""
        second_http = h11.Connection(h11.SERVER)
        second_http.receive_data(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        second_http.next_event()
        second_http.next_event()
        other_headers = headers | {'corianderloft-attempt-id': 'another'}
        await self._send(
            stream, second_http, other_headers, 200, b'stale', True, False
        )

    async def _send(self, stream, http, headers, status, body, signed, cut):
        fields = [
            ('Content-Length', str(len(body) + (5 if cut else 0))),
            (
                'Corianderloft-Attempt-Id',
                headers.get('corianderloft-attempt-id', ''),
            ),
            ('Corianderloft-Engine-Load', '1,0,8,100'),
        ]
        if signed:
            fields.append((SIGNATURE, f'signed-by-{self.engine_id}'))
        if self.rate_limit:
            fields.append(('Server-Limit', self.rate_limit))
        if self.leaving:
            fields.append(('Server-Leaving', '1'))
        if self.retry_after and status == 503:
            fields.append(('Retry-After', self.retry_after))
        if 'not-run' in headers:
            fields.append(('Corianderloft-Not-Executed', '1'))
        data = http.send(h11.Response(status_code=status, headers=fields))
        data += http.send(h11.Data(data=body)) or b''
        if not cut:
            data += http.send(h11.EndOfMessage()) or b''
        await stream.send_all(data)

    async def _stream_until_close(self, stream, headers):
        """Send a stream without a length that ends with its connection."""
        first = int(headers.get('last-event-id', -1)) + 1
        request_id = headers['corianderloft-attempt-id'].encode()
        await stream.send_all(
            _HEAD + b'Corianderloft-Attempt-Id: %b\r\n\r\n' % request_id
        )
        for number in range(first, self.events):
            event = b'id: %d\ndata: token %d\n\n' % (number, number)
            if self.mode == 'end_stream' and number == self.cut_after:
                self._scope.cancel()
                break
            if self.mode == 'half_event' and number == self.cut_after:
                # Without any event, the stream ends behind its head.
                await stream.send_all(event[:9] if number else b'')
                break
            await stream.send_all(event)
            await trio.sleep(self.pause)
        if self.may_end is not None:
            await self.may_end.wait()
            if self.ends_with_stream:
                self._scope.cancel()
        return False

    async def _end_whole(self, stream, headers):
        """Send a part of a response without a length, and end."""
        request_id = headers['corianderloft-attempt-id'].encode()
        await stream.send_all(
            _HEAD + b'Corianderloft-Attempt-Id: %b\r\n\r\npart' % request_id
        )
        self._scope.cancel()
        return False

    async def _stream(self, stream, http, headers, crashes=False):
        first = int(headers.get('last-event-id', -1)) + 1
        fields = [
            ('Content-Type', 'text/event-stream'),
            (
                'Corianderloft-Attempt-Id',
                headers.get('corianderloft-attempt-id', ''),
            ),
            (SIGNATURE, f'signed-by-{self.engine_id}'),
        ]
        if self.leaving:
            fields.append(('Server-Leaving', '1'))
        data = http.send(h11.Response(status_code=200, headers=fields))
        await stream.send_all(data)
        if self.crash_part and self.crash_part in headers.get(
            'corianderloft-prefix-hash', ''
        ):
            self._scope.cancel()
            return False
        for number in range(first, self.events):
            if crashes and number >= self.crash_events:
                self._scope.cancel()
                return False
            truncates = self.mode == 'cut_stream' and first == 0
            if truncates and number == self.cut_after:
                await stream.send_all(http.send(h11.Data(data=b'id: 9')))
                return False
            if self.stall and number == self.cut_after:
                await trio.sleep(self.stall)
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            await stream.send_all(http.send(h11.Data(data=event)))
            if self.pause:
                await trio.sleep(self.pause)
        await stream.send_all(http.send(h11.EndOfMessage()))
        return True
