"""One streamed chat completion, resumed over new connections if needed."""

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

CHAT_PATH = b'/v1/chat/completions'
RETRY_ELSEWHERE_REASONS = frozenset(
    {'draining', 'stale_configuration', 'claim_unavailable', 'not_found'}
)
"""Reasons of refusals that may not apply at another host."""

FailedOutcome = outcomes.Refused | outcomes.Unreachable
Item = outcomes.Event | FailedOutcome


@dataclasses.dataclass(frozen=True)
class _Interruption:
    """Failure of one connection before the answer was complete."""

    detail: str
    run: str = 'unknown'


class ChatStream:
    """One streamed chat completion.

    Parameters
    ----------
    cfg : ClientSettings
        Timeouts and limits.
    hosts : Exchanges
        Sends the requests.
    book : AddressBook
        Addresses of entry hosts.
    headers : list of (bytes, bytes)
        Headers of every request.
    body : dict
        Chat completion request.
    idempotent : bool
        Whether the answer may be generated again.

    Attributes
    ----------
    request_id : str
        Identity of the request.
    resumed : int
        Number of times the answer was resumed over a new connection.
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
        # Another engine can continue the answer only with the same seed.
        seed = uuid.uuid4().int & 0x7FFFFFFF
        self._body = orjson.dumps({'seed': seed, **body, 'stream': True})
        self._last_token = 0
        self._model_version: bytes | None = None
        self._complete = False
        self._run_status = 'not_run'

    async def items(self) -> collections.abc.AsyncGenerator[Item]:
        """Yield all events, each token once, and on failure its outcome."""
        interruption = _Interruption('no entry host is known', 'not_run')
        reattach_to: addresses.Address | None = None
        for _ in range(self._cfg.max_attempts):
            address = reattach_to or (await self._best_address())
            if address is None:
                break
            message = self._message(reattach=reattach_to is not None)
            failure: FailedOutcome | _Interruption | None = None
            async with contextlib.aclosing(
                self._receive(address, message)
            ) as items:
                async for item in items:
                    if isinstance(item, outcomes.Event):
                        yield item
                    else:
                        failure = item
            if self._complete:
                return
            if isinstance(failure, outcomes.Refused):
                if not self._may_retry_elsewhere(failure):
                    yield failure
                    return
                interruption = _Interruption(failure.detail, failure.run)
            elif isinstance(failure, _Interruption):
                interruption = failure
            if not self._may_retry(interruption):
                break
            # The host that started the answer may still be running it, so
            # the rest is first requested there, over a new connection.
            try_same_host = reattach_to is None and self._last_token > 0
            reattach_to = address if try_same_host else None
            if not try_same_host:
                self._book.mark_failed(address)
            self.resumed += 1
        yield outcomes.Unreachable(
            self.request_id, self._run_status, interruption.detail
        )

    async def _best_address(self) -> addresses.Address | None:
        known = await self._book.current()
        return known[0] if known else None

    def _may_retry(self, interruption: _Interruption) -> bool:
        if interruption.run == 'not_run' and not self._last_token:
            return True
        self._run_status = 'ran' if self._last_token else 'unknown'
        return self._idempotent

    def _may_retry_elsewhere(self, refusal: outcomes.Refused) -> bool:
        return refusal.reason in RETRY_ELSEWHERE_REASONS

    def _message(self, reattach: bool) -> outbound.Message:
        headers = list(self._headers)
        if self._last_token:
            headers.append((b'last-event-id', b'%d' % self._last_token))
        if reattach:
            target = b'/v1/requests/%b/stream' % self.request_id.encode()
            return outbound.Message('GET', target, headers, b'')
        if self._last_token and self._model_version is not None:
            headers.append((b'x-model-version', self._model_version))
        return outbound.Message(
            'POST', CHAT_PATH, headers, self._body, self._idempotent
        )

    async def _receive(
        self, address: addresses.Address, message: outbound.Message
    ) -> collections.abc.AsyncGenerator[Item | _Interruption]:
        """Yield the events of one connection, then its failure, if any."""
        async with self._hosts.open(address) as exchange:
            head = await exchange.send(message, self._cfg.first_silence)
            if isinstance(head, outbound.Failure):
                yield _interruption(head)
                return
            if head.status != 200:
                yield await self._read_refusal(exchange, head)
                return
            self._model_version = (
                head.header(b'x-model-version') or self._model_version
            )
            buffer = sse.EventBuffer()
            while not self._complete:
                data = await self._read(exchange)
                if isinstance(data, _Interruption):
                    yield data
                    return
                for event in sse.split_events(buffer.feed(data)):
                    item = self._parse_item(event)
                    if item is not None:
                        yield item

    async def _read(
        self, exchange: outbound.Outbound
    ) -> bytes | _Interruption:
        with self._hosts.silence_watch.guard(self._cfg.silence) as guard:
            guard.start_wait()
            data = await exchange.read()
            if data is None:
                return _Interruption('the answer is cut')
            return data if isinstance(data, bytes) else _interruption(data)
        return _interruption(exchange.silence_failure(self._cfg.silence))

    async def _read_refusal(
        self, exchange: outbound.Outbound, head: outbound.Head
    ) -> outcomes.Refused | _Interruption:
        body = await exchange.read_all(
            exchanges.MAX_RESPONSE_BYTES, self._cfg.silence
        )
        if isinstance(body, outbound.Failure):
            return _interruption(body)
        refusal = outcomes.parse_refusal(self.request_id, body)
        return refusal or _Interruption(
            f'HTTP status {head.status} without a reason'
        )

    def _parse_item(self, event: bytes) -> Item | None:
        if event == sse.DONE:
            self._complete = True
            return None
        data = event.partition(b'data:')[2]
        if event.startswith(b'event: error'):
            return outcomes.parse_refusal(self.request_id, data)
        number = sse.last_id(event)
        if number is None or not sse.events_after(event, self._last_token):
            return None
        self._last_token = number
        return outcomes.Event(number, orjson.loads(data))


def _interruption(failure: outbound.Failure) -> _Interruption:
    run = 'unknown' if failure.may_have_run else 'not_run'
    return _Interruption(failure.detail, run)
