"""The client that callers use."""

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

CLOSE_TIMEOUT = 1.0  # s

_ASK_AGAIN = frozenset({'claim_in_progress'})


class Client:
    """Sends a workspace's requests to whichever hosts serve.

    Use it with ``async with``, under trio.

    Parameters
    ----------
    seeds : sequence of Address
        Two or three entry hosts to begin with.
    key : str
        Key of the workspace.
    cfg : ClientSettings
        Times and bounds.
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
            self._hosts.ask,
        )
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> 'Client':
        nursery = await self._stack.enter_async_context(trio.open_nursery())
        nursery.start_soon(self._hosts.watch.run)
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
            # The block's own exception goes on as it was raised.
            return False

    async def _close(self) -> None:
        with trio.move_on_after(CLOSE_TIMEOUT):
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

        Each token comes once, over as many connections and hosts as it
        takes. An iterator that ends without an outcome gave a whole answer.

        Parameters
        ----------
        service, class_name : str
            What is called.
        body : dict
            Chat completion in the OpenAI form.
        idempotent : bool
            Whether the answer may be generated again.
        """
        chat = self._chat(service, class_name, body, idempotent)
        return contextlib.aclosing(chat.items())

    async def chat(
        self,
        service: str,
        class_name: str,
        body: dict[str, typing.Any],
        idempotent: bool = True,
    ) -> outcomes.ChatAnswer | streams.Ended:
        """Return the whole answer to a chat completion."""
        chat = self._chat(service, class_name, body, idempotent)
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
    ) -> outcomes.PlainAnswer | streams.Ended:
        """Call a plain service.

        A call that is not idempotent is sent under a key, so that it runs
        at most once however often it has to be asked for.

        Parameters
        ----------
        service, class_name : str
            What is called.
        method, path : str
            HTTP method and path at the service.
        body : bytes
            Body.
        idempotent : bool
            Whether the call may run more than once.
        idempotency_key : str or None
            Key of the call; None makes one where it is needed. The same key
            asks again for the outcome of the same call.
        content_type : str
            Type of the body.
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
    ) -> outcomes.PlainAnswer | streams.Ended:
        run = 'not_run'
        detail = 'no entry host is known'
        for _ in range(self._cfg.max_attempts):
            known = await self._book.current()
            if not known:
                break
            answer = await self._hosts.whole(known[0], message)
            if isinstance(answer, outbound.Failure):
                self._book.failed(known[0])
                detail = answer.detail
                run = 'unknown' if answer.may_have_run else run
                continue
            refused = outcomes.refused(request_id, answer.body)
            if refused is None or answer.head.status < 400:
                return _plain(request_id, answer)
            if refused.reason in _ASK_AGAIN and run == 'unknown':
                # Our own call may still run; ask for its outcome.
                await trio.sleep(self._cfg.claim_wait)
                detail = refused.detail
                continue
            if refused.reason not in streams.ELSEWHERE:
                return refused
            self._book.failed(known[0])
            detail = refused.detail
        return outcomes.Unreachable(request_id, run, detail)

    def _chat(
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


def _plain(request_id: str, answer: exchanges.Whole) -> outcomes.PlainAnswer:
    headers = {
        name.decode('latin-1').lower(): value.decode('latin-1')
        for name, value in answer.head.headers
    }
    return outcomes.PlainAnswer(
        request_id, answer.head.status, headers, answer.body
    )
