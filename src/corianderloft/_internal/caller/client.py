"""Client for callers."""

import collections.abc
import contextlib
import types
import typing
import uuid

import trio

from corianderloft._internal.caller import addresses
from corianderloft._internal.caller import exchanges
from corianderloft._internal.caller import outcomes
from corianderloft._internal.caller import settings as client_settings
from corianderloft._internal.caller import streams
from corianderloft._internal.network import outbound

CLOSE_TIMEOUT_S = 1.0

_POLL_REASONS = frozenset({'claim_in_progress'})
"""Refusals after which the outcome of a call is polled."""


class Client:
    """Sends the requests of a workspace to the available entry hosts.

    Use it with ``async with``, under trio.

    Parameters
    ----------
    seeds : sequence of Address
        Two or three entry hosts for the first address lookup.
    key : str
        API key of the workspace.
    cfg : ClientSettings
        Timeouts and limits.
    """

    def __init__(
        self,
        seeds: collections.abc.Sequence[addresses.Address],
        key: str,
        cfg: client_settings.ClientSettings | None = None,
    ) -> None:
        self._cfg = cfg or client_settings.ClientSettings()
        self._key = key
        self._hosts = exchanges.Exchanges(self._cfg)
        self._book = addresses.AddressBook(
            seeds,
            self._cfg.failure_domain,
            self._cfg.penalty_time,
            self._hosts.fetch,
        )
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> 'Client':
        nursery = await self._stack.enter_async_context(trio.open_nursery())
        nursery.start_soon(self._hosts.silence_watch.run)
        self._stack.callback(nursery.cancel_scope.cancel)
        self._stack.push_async_callback(self._close)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> bool | None:
        try:
            return await self._stack.__aexit__(kind, exc, traceback)
        except BaseExceptionGroup as group:
            if group.exceptions != (exc,):
                raise
            # Let the block's own exception propagate without the group.
            return False

    async def _close(self) -> None:
        with trio.move_on_after(CLOSE_TIMEOUT_S):
            await self._hosts.close()

    def stream(
        self,
        service: str,
        class_name: str,
        body: dict[str, typing.Any],
        idempotent: bool = True,
    ) -> contextlib.AbstractAsyncContextManager[
        collections.abc.AsyncIterator[streams.Item]
    ]:
        """Stream a chat completion.

        Each token is delivered once, even if several connections and hosts
        are needed. If the iterator ends without an outcome, the answer is
        complete.

        Parameters
        ----------
        service, class_name : str
            Service to call and class of the request.
        body : dict
            Chat completion request in OpenAI format.
        idempotent : bool
            Whether the answer may be generated again.
        """
        chat = self._chat_stream(service, class_name, body, idempotent)
        return contextlib.aclosing(chat.items())

    async def chat(
        self,
        service: str,
        class_name: str,
        body: dict[str, typing.Any],
        idempotent: bool = True,
    ) -> outcomes.ChatAnswer | streams.FailedOutcome:
        """Return the complete answer to a chat completion request."""
        chat = self._chat_stream(service, class_name, body, idempotent)
        texts: list[str] = []
        last: outcomes.Event | None = None
        async with contextlib.aclosing(chat.items()) as items:
            async for item in items:
                if not isinstance(item, outcomes.Event):
                    return item
                texts.append(item.text)
                last = item
        return outcomes.ChatAnswer(
            chat.request_id,
            ''.join(texts),
            0 if last is None else last.number,
            None if last is None else last.finish_reason,
            chat.resumed,
        )

    async def call(
        self,
        service: str,
        class_name: str,
        method: str,
        path: str,
        body: bytes = b'',
        idempotent: bool = False,
        idempotency_key: str | None = None,
        content_type: str = 'application/json',
    ) -> outcomes.PlainAnswer | streams.FailedOutcome:
        """Call a plain service.

        A call that is not idempotent is sent with an idempotency key, so
        that it runs at most once even if it is retried.

        Parameters
        ----------
        service, class_name : str
            Service to call and class of the request.
        method, path : str
            HTTP method and path at the service.
        body : bytes
            Request body.
        idempotent : bool
            Whether the call may run more than once.
        idempotency_key : str or None
            Idempotency key; if None, one is generated when needed. Sending
            the same key again returns the outcome of the same call.
        content_type : str
            Content type of the body.
        """
        request_id = uuid.uuid4().hex
        headers = [
            *self._headers(service, class_name),
            (b'content-type', content_type.encode('ascii')),
            (b'x-request-id', request_id.encode('ascii')),
        ]
        if idempotency_key is not None or not idempotent:
            key = idempotency_key or uuid.uuid4().hex
            headers.append((b'idempotency-key', key.encode('ascii')))
        target = f'/v1/services/{service}/{path.lstrip("/")}'
        message = outbound.Message(
            method, target.encode('ascii'), headers, body
        )
        return await self._call(message, request_id)

    async def _call(
        self, message: outbound.Message, request_id: str
    ) -> outcomes.PlainAnswer | streams.FailedOutcome:
        run_status = 'not_run'
        detail = 'no entry host is known'
        for _ in range(self._cfg.max_attempts):
            known = await self._book.current()
            if not known:
                break
            answer = await self._hosts.request_whole(known[0], message)
            if isinstance(answer, outbound.Failure):
                self._book.mark_failed(known[0])
                detail = answer.detail
                run_status = 'unknown' if answer.may_have_run else run_status
                continue
            refusal = outcomes.parse_refusal(request_id, answer.body)
            if refusal is None or answer.head.status < 400:
                return _plain_answer(request_id, answer)
            if refusal.reason in _POLL_REASONS and run_status == 'unknown':
                # The claim may be held by an earlier attempt of this call
                # that is still running; poll for its outcome.
                await trio.sleep(self._cfg.claim_wait)
                detail = refusal.detail
                continue
            if refusal.reason not in streams.RETRY_ELSEWHERE_REASONS:
                return refusal
            self._book.mark_failed(known[0])
            detail = refusal.detail
        return outcomes.Unreachable(request_id, run_status, detail)

    def _chat_stream(
        self,
        service: str,
        class_name: str,
        body: dict[str, typing.Any],
        idempotent: bool,
    ) -> streams.ChatStream:
        return streams.ChatStream(
            self._cfg,
            self._hosts,
            self._book,
            self._headers(service, class_name),
            body,
            idempotent,
        )

    def _headers(
        self, service: str, class_name: str
    ) -> list[tuple[bytes, bytes]]:
        return [
            (b'authorization', b'Bearer ' + self._key.encode('latin-1')),
            (b'x-service', service.encode('latin-1')),
            (b'x-class', class_name.encode('latin-1')),
        ]


def _plain_answer(
    request_id: str, answer: exchanges.WholeResponse
) -> outcomes.PlainAnswer:
    headers = {
        name.decode('latin-1').lower(): value.decode('latin-1')
        for name, value in answer.head.headers
    }
    return outcomes.PlainAnswer(
        request_id, answer.head.status, headers, answer.body
    )
