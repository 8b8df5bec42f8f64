"""One streamed answer, over as many connections as it takes."""

import collections.abc
import contextlib
import dataclasses
import typing
import uuid

import orjson

from corianderloft._internal.caller import addresses
from corianderloft._internal.caller import exchanges
from corianderloft._internal.caller import outcomes
from corianderloft._internal.caller import settings as client_settings
from corianderloft._internal.entry import sse
from corianderloft._internal.network import outbound

CHAT = b'/v1/chat/completions'
ELSEWHERE = frozenset(
    {'draining', 'stale_configuration', 'claim_unavailable', 'not_found'}
)
"""Reasons of a refusal that another host may not have."""

Ended = outcomes.Refused | outcomes.Unreachable
Item = outcomes.Event | Ended


@dataclasses.dataclass(frozen=True)
class _Lost:
    """The answer did not go on over this connection."""

    detail: str
    run: str = 'unknown'


class ChatStream:
    """One streamed chat completion.

    Parameters
    ----------
    cfg : ClientSettings
        Times and bounds.
    hosts : Exchanges
        Sends the requests.
    book : AddressBook
        Says where to.
    headers : list of (bytes, bytes)
        Headers of every request.
    body : dict
        The chat completion.
    idempotent : bool
        Whether the answer may be generated again.

    Attributes
    ----------
    request_id : str
        Identity of the request.
    resumed : int
        How often the answer went on over a new connection.
    """

    def __init__(
        self,
        cfg: client_settings.ClientSettings,
        hosts: exchanges.Exchanges,
        book: addresses.AddressBook,
        headers: list[tuple[bytes, bytes]],
        body: dict[str, typing.Any],
        idempotent: bool,
    ) -> None:
        self._cfg = cfg
        self._hosts = hosts
        self._book = book
        self._idempotent = idempotent
        self.request_id = uuid.uuid4().hex
        self.resumed = 0
        self._headers = [
            *headers,
            (b'content-type', b'application/json'),
            (b'x-request-id', self.request_id.encode('ascii')),
        ]
        # Only under one seed can another engine continue the answer.
        seed = uuid.uuid4().int & 0x7FFFFFFF
        self._body = orjson.dumps({'seed': seed, **body, 'stream': True})
        self._have = 0
        self._model: bytes | None = None
        self._done = False
        self._run = 'not_run'

    async def items(self) -> collections.abc.AsyncGenerator[Item]:
        """Yield all events, each token once; an outcome ends a failed row."""
        lost = _Lost('no entry host is known', 'not_run')
        began_at: addresses.Address | None = None
        for _ in range(self._cfg.max_attempts):
            address = began_at or (await self._next())
            if address is None:
                break
            message = self._message(again=began_at is not None)
            ended: Ended | _Lost | None = None
            async with contextlib.aclosing(
                self._over(address, message)
            ) as row:
                async for item in row:
                    if isinstance(item, outcomes.Event):
                        yield item
                    else:
                        ended = item
            if self._done:
                return
            if isinstance(ended, outcomes.Refused):
                if not self._elsewhere(ended):
                    yield ended
                    return
                lost = _Lost(ended.detail, ended.run)
            elif isinstance(ended, _Lost):
                lost = ended
            if not self._may_go_on(lost):
                break
            # The host that began the answer may still run it: its rest is
            # fetched there first, over a new connection.
            same = began_at is None and self._have > 0
            began_at = address if same else None
            if not same:
                self._book.failed(address)
            self.resumed += 1
        yield outcomes.Unreachable(self.request_id, self._run, lost.detail)

    async def _next(self) -> addresses.Address | None:
        known = await self._book.current()
        return known[0] if known else None

    def _may_go_on(self, lost: _Lost) -> bool:
        if lost.run == 'not_run' and not self._have:
            return True
        self._run = 'ran' if self._have else 'unknown'
        return self._idempotent

    def _elsewhere(self, refused: outcomes.Refused) -> bool:
        return refused.reason in ELSEWHERE

    def _message(self, again: bool) -> outbound.Message:
        headers = list(self._headers)
        if self._have:
            headers.append((b'last-event-id', b'%d' % self._have))
        if again:
            target = b'/v1/requests/%b/stream' % self.request_id.encode()
            return outbound.Message('GET', target, headers, b'')
        if self._have and self._model is not None:
            headers.append((b'x-model-version', self._model))
        return outbound.Message(
            'POST', CHAT, headers, self._body, self._idempotent
        )

    async def _over(
        self, address: addresses.Address, message: outbound.Message
    ) -> collections.abc.AsyncGenerator[Item | _Lost]:
        """Yield what comes over one connection, and why it ended."""
        async with self._hosts.open(address) as exchange:
            head = await exchange.send(message, self._cfg.first_silence)
            if isinstance(head, outbound.Failure):
                yield _lost(head)
                return
            if head.status != 200:
                yield await self._not_served(exchange, head)
                return
            self._model = head.header(b'x-model-version') or self._model
            cutter = sse.EventBuffer()
            while not self._done:
                data = await self._read(exchange)
                if isinstance(data, _Lost):
                    yield data
                    return
                for event in sse.split_events(cutter.feed(data)):
                    item = self._item(event)
                    if item is not None:
                        yield item

    async def _read(self, exchange: outbound.Outbound) -> bytes | _Lost:
        with self._hosts.watch.guard(self._cfg.silence) as guard:
            guard.start_wait()
            data = await exchange.read()
            if data is None:
                return _Lost('the answer is cut')
            return data if isinstance(data, bytes) else _lost(data)
        return _lost(exchange.silence_failure(self._cfg.silence))

    async def _not_served(
        self, exchange: outbound.Outbound, head: outbound.Head
    ) -> outcomes.Refused | _Lost:
        body = await exchange.read_all(
            exchanges.MAX_ANSWER_BYTES, self._cfg.silence
        )
        if isinstance(body, outbound.Failure):
            return _lost(body)
        refused = outcomes.refused(self.request_id, body)
        return refused or _Lost(f'HTTP status {head.status} without a reason')

    def _item(self, event: bytes) -> Item | None:
        if event == sse.DONE:
            self._done = True
            return None
        data = event.partition(b'data:')[2]
        if event.startswith(b'event: error'):
            return outcomes.refused(self.request_id, data)
        number = sse.last_id(event)
        if number is None or not sse.events_after(event, self._have):
            return None
        self._have = number
        return outcomes.Event(number, orjson.loads(data))


def _lost(failure: outbound.Failure) -> _Lost:
    run = 'unknown' if failure.may_have_run else 'not_run'
    return _Lost(failure.detail, run)
