"""Model engine as an ASGI application."""

import dataclasses
import itertools
import urllib.parse

import pydantic
import trio

from corianderloft._internal.standin.engine import batch as engine_batch
from corianderloft._internal.standin.engine import chat
from corianderloft._internal.standin.engine import loads
from corianderloft._internal.standin.engine import orders
from corianderloft._internal.standin.engine import tokens
from corianderloft._internal.standin import faults
from corianderloft._internal.standin import http
from corianderloft._internal.standin import settings as standin_settings
from corianderloft._internal.utils import prefixes


async def serve_engine(
    settings: standin_settings.EngineSettings,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a model engine on loopback.

    Reports the bound port through ``task_status``.
    """
    engine = Engine(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.batch.run)
        nursery.start_soon(engine.loads.run, engine.batch)
        await http.serve(engine.routes(), settings.port, task_status)


class Engine:
    """One model engine.

    Parameters
    ----------
    settings : EngineSettings
        Identity, number of slots and step times.
    """

    def __init__(self, settings: standin_settings.EngineSettings) -> None:
        self._settings = settings
        self.batch = engine_batch.Batch(settings)
        self.loads = loads.LoadHistory(settings.load_lag)
        self.loads.sample(self.batch)
        self.state = orders.EngineState([settings.model])
        self._request_numbers = itertools.count(1)

    def routes(self) -> http.Routes:
        """Return the ASGI application."""
        served = {
            'POST /v1/chat/completions': self._chat,
            'DELETE /v1/requests/*': self._cancel,
            'PATCH /v1/requests/*': self._change_priority,
            'GET /v1/load': self._load,
            'GET /v1/cache/events': self._cache_events,
            'POST /v1/cache/export': self._export_cache,
            'POST /v1/cache/import': self._import_cache,
            'POST /v1/orders': self._handle_order,
            'GET /v1/state': self._read_state,
            'GET /healthz': self._health,
        }
        control = {
            'POST /control/faults': self._set_faults,
            'GET /control/counts': self._counts,
        }
        faulty = {
            key: self._with_faults(handler) for key, handler in served.items()
        }
        return http.Routes(faulty | control)

    def _with_faults(self, handler: http.Handler) -> http.Handler:
        """Wrap a handler so that it fails according to the faults."""

        async def handle(call: http.Call) -> None:
            if self.batch.faults.crashed:
                await call.drop_connection()
            elif self.batch.faults.silent:
                await call.wait_disconnected()
            else:
                await handler(call)

        return handle

    async def _chat(self, call: http.Call) -> None:
        req = chat.parse(call.json())
        if isinstance(req, chat.BadRequest):
            await call.reply(_error('bad_request', req.detail), 400)
            return
        refusal_code = self._refusal_code()
        if refusal_code is not None:
            self.batch.totals.refused += 1
            await call.reply(
                _error(refusal_code, 'the request was not run'), 503
            )
            return
        if self._settings.check_model and req.model not in self.state.models:
            detail = f'model {req.model!r} is not loaded'
            await call.reply(_error('model_not_found', detail), 404)
            return
        job = self._make_job(call, req)
        self.batch.add(job)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._respond, call, req, job, nursery)
                await call.wait_disconnected()
                nursery.cancel_scope.cancel()
        finally:
            self.batch.remove(job)

    def _refusal_code(self) -> str | None:
        """Return the error code for a new request; None if it is accepted."""
        if len(self.batch.waiting) >= self._settings.queue_limit:
            return 'overloaded'
        return self.batch.faults.refusal_code()

    def _make_job(
        self, call: http.Call, req: chat.ChatRequest
    ) -> engine_batch.Job:
        completion = tokens.completion_for(
            req.model,
            req.messages,
            req.seed,
            req.max_tokens,
            self._settings.mean_answer_tokens,
        )
        prompt = prefixes.prompt_bytes(req.messages)
        request_id = call.headers.get('x-request-id')
        return engine_batch.Job(
            request_id or f'engine-{next(self._request_numbers)}',
            req.priority,
            completion,
            min(int(call.headers.get('last-event-id', 0)), completion.length),
            prefixes.estimate_tokens(prompt),
            prefixes.prefix_hashes(req.model, prompt),
        )

    async def _respond(
        self,
        call: http.Call,
        req: chat.ChatRequest,
        job: engine_batch.Job,
        nursery: trio.Nursery,
    ) -> None:
        if req.stream:
            await self._respond_streamed(call, req, job)
        else:
            await self._respond_whole(call, req, job)
        nursery.cancel_scope.cancel()

    async def _respond_streamed(
        self, call: http.Call, req: chat.ChatRequest, job: engine_batch.Job
    ) -> None:
        await call.start(http.EVENT_STREAM_TYPE)
        async for n in job.receive:
            ready = [n, *_receive_ready(job)]
            events = [
                chat.token_event(job.request_id, req.model, job.completion, n)
                for n in ready
            ]
            await call.chunk(b''.join(events))
            self.batch.totals.tokens_delivered += len(ready)
        if job.state is engine_batch.JobState.CRASHED:
            # The server closes the connection because the response is not
            # finished.
            return
        if job.state is engine_batch.JobState.CANCELLED:
            await call.chunk(chat.error_event('cancelled'))
        else:
            last = chat.finish_event(job.request_id, req.model, job.completion)
            await call.chunk(last + chat.DONE)
        await call.finish()

    async def _respond_whole(
        self, call: http.Call, req: chat.ChatRequest, job: engine_batch.Job
    ) -> None:
        # The engine may generate tokens before this task starts, so the
        # first token is taken from the channel.
        generated = [n async for n in job.receive]
        first = generated[0] if generated else job.position + 1
        if job.state is engine_batch.JobState.CRASHED:
            await call.drop_connection()
            return
        if job.state is engine_batch.JobState.CANCELLED:
            await call.reply(_error('cancelled', 'the request ended'), 500)
            return
        await call.reply(
            chat.completion_body(
                job.request_id,
                req.model,
                job.completion,
                first,
                job.prompt_tokens,
            )
        )
        self.batch.totals.tokens_delivered += len(generated)

    async def _cancel(self, call: http.Call) -> None:
        jobs = self.batch.find(call.path.rpartition('/')[2])
        for job in jobs:
            self.batch.remove(job)
        await call.reply({'cancelled': len(jobs)}, 200 if jobs else 404)

    async def _change_priority(self, call: http.Call) -> None:
        priority = (call.json() or {}).get('priority')
        if not isinstance(priority, int):
            await call.reply(_error('bad_request', 'priority: integer'), 400)
            return
        jobs = self.batch.find(call.path.rpartition('/')[2])
        for job in jobs:
            job.priority = priority
        await call.reply({'changed': len(jobs)}, 200 if jobs else 404)

    async def _load(self, call: http.Call) -> None:
        await call.reply(
            {
                'engine_id': self._settings.engine_id,
                'slots': self._settings.slots,
                'state': self._availability(),
            }
            | self.loads.report()
        )

    def _availability(self) -> str:
        return 'leaving' if self.batch.faults.leaving else 'live'

    async def _cache_events(self, call: http.Call) -> None:
        query = urllib.parse.parse_qs(call.query)
        after = int(query.get('after', ['0'])[0])
        await call.reply(self.batch.cache.events_after(after))

    async def _export_cache(self, call: http.Call) -> None:
        hashes = (call.json() or {}).get('hashes', [])
        await call.reply({'hashes': self.batch.cache.cached_hashes(hashes)})

    async def _import_cache(self, call: http.Call) -> None:
        hashes = (call.json() or {}).get('hashes', [])
        self.batch.cache.add(hashes)
        await call.reply({'hashes': self.batch.cache.cached_hashes(hashes)})

    async def _handle_order(self, call: http.Call) -> None:
        try:
            order = orders.Order.model_validate_json(call.body)
        except pydantic.ValidationError as exc:
            await call.reply(_error('bad_request', str(exc)), 400)
            return
        await trio.sleep(self.batch.faults.order_delay)
        applied = self.state.apply(order, self._settings.check_fencing)
        if not applied:
            detail = f'{order.fencing} is below {self.state.fencing}'
            await call.reply(_error('old_fencing_number', detail), 409)
            return
        await call.reply({'order_id': order.order_id})

    async def _read_state(self, call: http.Call) -> None:
        await call.reply(dataclasses.asdict(self.state))

    async def _health(self, call: http.Call) -> None:
        await call.reply({'state': self._availability()})

    async def _set_faults(self, call: http.Call) -> None:
        changed = await faults.handle_update(call, self.batch.faults)
        if changed and self.batch.faults.crashed:
            self.batch.crash()
            self.state = orders.EngineState([self._settings.model])

    async def _counts(self, call: http.Call) -> None:
        await call.reply(dataclasses.asdict(self.batch.totals))


def _receive_ready(job: engine_batch.Job) -> list[int]:
    """Receive all tokens that are ready, without waiting."""
    ready = []
    while True:
        try:
            ready.append(job.receive.receive_nowait())
        except (trio.WouldBlock, trio.EndOfChannel):
            return ready


def _error(code: str, message: str) -> chat.Json:
    return {'error': {'code': code, 'message': message}}
