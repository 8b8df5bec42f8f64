"""The model engine as an ASGI application."""

import dataclasses
import itertools

import trio

from corianderloft._internal.standin.engine import batch as engine_batch
from corianderloft._internal.standin.engine import chat
from corianderloft._internal.standin.engine import tokens
from corianderloft._internal.standin import http
from corianderloft._internal.standin import settings as standin_settings
from corianderloft._internal.utils import prefixes
from corianderloft._internal.utils import tasks


async def serve_engine(
    settings: standin_settings.EngineSettings,
    task_status: tasks.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a model engine on loopback; reports the bound port."""
    engine = Engine(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.batch.run)
        await http.serve(engine.routes(), settings.port, task_status)


class Engine:
    """One model engine.

    Parameters
    ----------
    settings : EngineSettings
        Identity, slots and times.
    """

    def __init__(self, settings: standin_settings.EngineSettings) -> None:
        self._settings = settings
        self.batch = engine_batch.Batch(settings)
        self._unnamed = itertools.count(1)

    def routes(self) -> http.Routes:
        """Return the application."""
        return http.Routes(
            {
                'POST /v1/chat/completions': self._chat,
                'DELETE /v1/requests/*': self._cancel,
                'GET /v1/load': self._load,
                'GET /healthz': self._health,
                'GET /control/counts': self._counts,
            }
        )

    async def _chat(self, call: http.Call) -> None:
        req = chat.parse(call.json())
        if isinstance(req, chat.BadRequest):
            await call.reply(_error('bad_request', req.detail), 400)
            return
        job = self._job(call, req)
        self.batch.add(job)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._answer, call, req, job, nursery)
                await call.disconnected()
                nursery.cancel_scope.cancel()
        finally:
            self.batch.remove(job)

    def _job(self, call: http.Call, req: chat.ChatRequest) -> engine_batch.Job:
        answer = tokens.answer_for(
            req.model,
            req.messages,
            req.seed,
            req.max_tokens,
            self._settings.mean_answer_tokens,
        )
        prompt = prefixes.prompt_bytes(req.messages)
        request_id = call.headers.get('x-request-id')
        return engine_batch.Job(
            request_id or f'engine-{next(self._unnamed)}',
            req.priority,
            answer,
            min(int(call.headers.get('last-event-id', 0)), answer.length),
            prefixes.estimate_tokens(prompt),
        )

    async def _answer(
        self,
        call: http.Call,
        req: chat.ChatRequest,
        job: engine_batch.Job,
        nursery: trio.Nursery,
    ) -> None:
        if req.stream:
            await self._stream(call, req, job)
        else:
            await self._whole(call, req, job)
        nursery.cancel_scope.cancel()

    async def _stream(
        self, call: http.Call, req: chat.ChatRequest, job: engine_batch.Job
    ) -> None:
        await call.start(http.EVENT_STREAM_TYPE)
        async for n in job.receive:
            ready = [n, *_drain(job)]
            events = [
                chat.event(job.request_id, req.model, job.answer, n)
                for n in ready
            ]
            await call.chunk(b''.join(events))
            self.batch.totals.tokens_delivered += len(ready)
        if job.position < job.answer.length:
            await call.chunk(chat.error_event('cancelled'))
        else:
            last = chat.last_event(job.request_id, req.model, job.answer)
            await call.chunk(last + chat.DONE)
        await call.finish()

    async def _whole(
        self, call: http.Call, req: chat.ChatRequest, job: engine_batch.Job
    ) -> None:
        first = job.position + 1
        generated = [n async for n in job.receive]
        if job.position < job.answer.length:
            await call.reply(_error('cancelled', 'the request ended'), 500)
            return
        await call.reply(
            chat.completion(
                job.request_id,
                req.model,
                job.answer,
                first,
                prefixes.estimate_tokens(prefixes.prompt_bytes(req.messages)),
            )
        )
        self.batch.totals.tokens_delivered += len(generated)

    async def _cancel(self, call: http.Call) -> None:
        jobs = self.batch.find(call.path.rpartition('/')[2])
        for job in jobs:
            self.batch.remove(job)
        await call.reply({'cancelled': len(jobs)}, 200 if jobs else 404)

    async def _load(self, call: http.Call) -> None:
        await call.reply(
            {
                'engine_id': self._settings.engine_id,
                'age_s': 0.0,
                'running': len(self.batch.running),
                'waiting': len(self.batch.waiting),
                'cached_fraction': 0.0,
                'slots': self._settings.slots,
                'state': 'live',
            }
        )

    async def _health(self, call: http.Call) -> None:
        await call.reply({'state': 'live'})

    async def _counts(self, call: http.Call) -> None:
        await call.reply(dataclasses.asdict(self.batch.totals))


def _drain(job: engine_batch.Job) -> list[int]:
    """Return the tokens that are ready and not yet received."""
    ready = []
    while True:
        try:
            ready.append(job.receive.receive_nowait())
        except (trio.WouldBlock, trio.EndOfChannel):
            return ready


def _error(code: str, message: str) -> chat.Json:
    return {'error': {'code': code, 'message': message}}
