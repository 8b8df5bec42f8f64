"""Server that sends given bytes, whatever it is asked."""

import socket
import struct

import trio

END = 'end'
RESET = 'reset'
END_THEN_RESET = 'end_then_reset'

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_SMALL_BUFFER_BYTES = 4096


class RawServer:
    """Sends the same bytes on each connection, then ends or resets it.

    Parameters
    ----------
    raw : bytes
        Bytes to send; ``{id}`` stands for the attempt ID of the request.
    end : str
        How the connection ends: `END`, `RESET` or `END_THEN_RESET`.
    reads_body : bool
        Whether the request is read until it is complete; if not, only its
        head is, and a long body fills the buffers.
    engine_id : str
        ID that it is registered under.

    Attributes
    ----------
    port : int
        Port that it listens on.
    seen : list of bytes
        Heads of the requests.
    repeat : bool
        Whether the bytes are sent again and again.
    sent_bytes : int
        Number of bytes sent.
    pause : float
        Time before the end, and between an end and a reset, in seconds.
    """

    def __init__(self, raw, end=END, reads_body=False, engine_id='raw'):
        self.raw = raw
        self.end = end
        self.reads_body = reads_body
        self.engine_id = engine_id
        self.port = 0
        self.seen = []
        self.repeat = False
        self.sent_bytes = 0
        self.pause = 0.02

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve on a loopback port until cancelled."""
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Accepted connections inherit it: a long request does not fit.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
        )
        await sock.bind(('127.0.0.1', self.port))
        sock.listen(64)
        self.port = sock.getsockname()[1]
        task_status.started(self.port)
        await trio.serve_listeners(
            self._connection, [trio.SocketListener(sock)]
        )

    async def _connection(self, stream):
        try:
            await self._respond(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            stream.socket.close()

    async def _respond(self, stream):
        head, rest = b'', b''
        while not rest:
            data = await stream.receive_some(1024)
            if not data:
                return
            head += data
            head, rest, body = head.partition(b'\r\n\r\n')
        self.seen.append(head)
        fields = dict(
            line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:]
        )
        left = int(fields.get(b'content-length', b'0')) - len(body)
        while self.reads_body and left > 0:
            left -= len(await stream.receive_some(65536))
        attempt_id = fields.get(b'corianderloft-attempt-id', b'')
        raw = self.raw.replace(b'{id}', attempt_id)
        while True:
            await stream.send_all(raw)
            self.sent_bytes += len(raw)
            if not self.repeat:
                break
        await trio.sleep(self.pause)
        if self.end in (END, END_THEN_RESET):
            stream.socket.shutdown(socket.SHUT_WR)
            # What is still to come is read, so that no reset follows.
            while self.end == END and await stream.receive_some(65536):
                pass
            await trio.sleep(self.pause)
        if self.end != END:
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
