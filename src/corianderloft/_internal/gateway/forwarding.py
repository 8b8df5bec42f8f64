"""Carries a request through its sends to backend servers."""

import enum
import logging
import math

import trio

from corianderloft._internal.entry import sse
from corianderloft._internal.gateway import dialect
from corianderloft._internal.gateway import metrics
from corianderloft._internal.gateway import refusals
from corianderloft._internal.gateway import request_log
from corianderloft._internal.gateway import routed_request
from corianderloft._internal.gateway import sending
from corianderloft._internal.models import routing
from corianderloft._internal.network import engine_pool
from corianderloft._internal.network import exchange
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer

logger = logging.getLogger(__name__)

MOST_SENDS = 6
"""Sends of one request, those included that did not run."""

SILENT_TARGETS = 3.0
"""Silence of a backend server, in latency targets, after which a request
that may be repeated goes to another one."""

SILENT_FLOOR = 0.25
"""Least such silence, in seconds."""

LEAST_LEFT = 0.02
"""Time left, in seconds, with which a request is still sent."""


class Result(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    CUT = 'cut'


class Forwarding:
    """One request, from its first send to the end of the answer.

    Parameters
    ----------
    decisions : Placer
        Grants sends.
    pool : EnginePool
        Connections to backend servers.
    words : Dialect
        Writes and reads heads.
    call : Call
        The request.
    caller : Exchange
        Where the answer goes.
    closes : bool
        Whether the caller's connection ends with this answer.

    Attributes
    ----------
    complete : bool
        Whether the end of the answer is on its way to the caller; the
        caller may leave then.
    """

    def __init__(
        self,
        decisions: placer.Placer,
        pool: engine_pool.EnginePool,
        words: dialect.Dialect,
        call: routed_request.Call,
        caller: exchange.Exchange,
        closes: bool,
    ) -> None:
        self._decisions = decisions
        self._pool = pool
        self._words = words
        self._call = call
        self._caller = caller
        self._closes = closes
        self._tried: set[engines.Key] = set()
        self._ran: set[engines.Key] = set()
        self._last_event = call.head.resume_after
        self._started = False
        self.complete = False
        self._reserve: tuple[sending.Opened, bytes] | None = None
        self.sends = 0
        self.first_at: float | None = None
        self.engine = ''
        self.longest_gap = 0.0
        self._event_at = 0.0
        self.refusal: refusals.Refusal | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have run the request."""
        return bool(self._ran)

    async def run(self) -> Result:
        """Serve the request until its end."""
        with trio.CancelScope(deadline=self._call.job.until) as timeout:
            return await self._send_all()
        assert timeout.cancelled_caught
        if self._started:
            self._caller.abort()
            return Result.CUT
        if self._ran:
            return await self._refuse(
                refusals.Refusal(refusals.Reason.TIMED_OUT)
            )
        late = refusals.Refusal(refusals.Reason.TOO_LATE, placer.COME_BACK)
        return await self._refuse(late)

    async def _send_all(self) -> Result:
        refusal = refusals.Refusal(refusals.Reason.NOT_RUN, placer.COME_BACK)
        for count in range(MOST_SENDS):
            if count and not self._may_go_on():
                break
            grant = await self._decisions.acquire(self._call.job, self._tried)
            if isinstance(grant, interface.Refused):
                reason = refusals.Reason(grant.reason.value)
                refusal = refusals.Refusal(reason, grant.retry_after)
                break
            if count and not self._take_repeat(grant):
                break
            self.sends += 1
            result = await self._send_once(grant)
            if result is not None:
                return result
        return await self._give_up(refusal)

    def _may_go_on(self) -> bool:
        """Return whether the request may be sent once more."""
        job = self._call.job
        if job.until - trio.current_time() < LEAST_LEFT:
            return False
        if not self._ran:
            return True
        if not self._call.kind.repeatable:
            return False
        return len(self._ran) < job.route.attempts

    def _take_repeat(self, grant: placer.Grant) -> bool:
        job = self._call.job
        now = trio.current_time()
        if self._decisions.retries.take(job.service, now):
            return True
        grant.close(interface.End.CALLER_LEFT)
        metrics.count_repeat_refused(job.service)
        request_log.repeat_refused(job, self.sends)
        return False

    async def _give_up(self, refusal: refusals.Refusal) -> Result:
        if self._started:
            self._caller.abort()
            return Result.CUT
        if self._reserve is not None:
            opened, body = self._reserve
            return await self._deliver(opened, body)
        if self._ran:
            refusal = refusals.Refusal(refusals.Reason.OUTCOME_UNKNOWN)
        return await self._refuse(refusal)

    async def _refuse(self, refusal: refusals.Refusal) -> Result:
        self.refusal = refusal
        self.complete = True
        headers = refusal.headers()
        if self._closes and not refusal.closes:
            headers.append((b'connection', b'close'))
        body = refusal.body()
        with trio.CancelScope(shield=True):
            await self._caller.answer_raw(refusal.status, headers, body)
        return Result.REFUSED

    async def _send_once(self, grant: placer.Grant) -> Result | None:
        """Send once; None when the request may go elsewhere."""
        engine = grant.engine
        self._tried.add(engine.key)
        self.engine = engine.engine_id
        send = sending.Send(self._pool, self._words, engine, self._call)
        end = interface.End.CALLER_LEFT
        # Until the server says otherwise, a request that left may have run.
        self._ran.add(engine.key)
        request_log.sent(self._call.job, engine, self.sends)
        try:
            outcome = await self._within_silence(send, grant)
            if isinstance(outcome, Result):
                end = interface.End.COMPLETE
                return outcome
            end = outcome.end
            if not outcome.may_have_run:
                self._ran.discard(engine.key)
            request_log.send_failed(self._call.job, engine, outcome)
            return None
        except trio.Cancelled:
            if trio.current_time() >= self._call.job.until:
                end = interface.End.TIMED_OUT
            raise
        finally:
            send.close()
            grant.close(end)

    async def _within_silence(
        self, send: sending.Send, grant: placer.Grant
    ) -> Result | sending.Failed:
        """Carry one send, but leave a silent server if another may do."""
        bound = self._silence()
        with trio.move_on_after(bound) as silence:
            opened = await send.open(self._last_event)
            if isinstance(opened, sending.Failed):
                return opened
            if sending.is_stream(self._call.kind, opened):
                return await self._relay(send, opened, grant, silence)
            grant.started()
            body = await send.read_all()
            silence.deadline = math.inf
            if isinstance(body, sending.Failed):
                return body
            return await self._judge(opened, body)
        detail = f'nothing for {bound:.2f} s'
        return sending.Failed(interface.End.SILENT, True, detail)

    def _silence(self) -> float:
        job = self._call.job
        others = job.route.attempts > len(self._ran)
        if not self._call.kind.repeatable or not others:
            return math.inf
        return max(SILENT_FLOOR, SILENT_TARGETS * job.route.target)

    async def _judge(
        self, opened: sending.Opened, body: bytes
    ) -> Result | sending.Failed:
        """Deliver a whole answer, unless another send may do better."""
        if opened.head.not_run:
            return sending.Failed(
                interface.End.NOT_RUN, False, f'status {opened.status}'
            )
        if opened.status < 300 and not opened.head.signed:
            return sending.Failed(
                interface.End.BROKEN, True, 'an answer without signature'
            )
        if opened.status >= 500 and self._call.kind.repeatable:
            self._reserve = opened, body
            return sending.Failed(
                interface.End.ERROR_ANSWER, True, f'status {opened.status}'
            )
        return await self._deliver(opened, body)

    async def _deliver(self, opened: sending.Opened, body: bytes) -> Result:
        self.first_at = trio.current_time()
        headers = [
            (name, value)
            for name, value in opened.head.forwarded_headers
            if name.lower() != b'content-length'
        ]
        if self._closes:
            headers.append((b'connection', b'close'))
        self.complete = True
        with trio.CancelScope(shield=True):
            await self._caller.answer_raw(opened.status, headers, body)
        return Result.ANSWERED

    async def _relay(
        self,
        send: sending.Send,
        opened: sending.Opened,
        grant: placer.Grant,
        silence: trio.CancelScope,
    ) -> Result | sending.Failed:
        """Pass a stream on, whole events at a time.

        What goes to the caller is shielded: a send that is cancelled half
        way would leave the connection in a state that nobody knows. A
        caller that reads nothing is cut by the server's bound on stalls.
        """
        if not opened.head.signed:
            return sending.Failed(
                interface.End.BROKEN, True, 'a stream without signature'
            )
        cutter = sse.EventCutter()
        bound = self._gap_bound()
        while True:
            data = await send.read()
            if isinstance(data, sending.Failed):
                return data
            if data is None:
                break
            if math.isfinite(silence.deadline):
                silence.deadline = trio.current_time() + bound
            events = cutter.feed(data)
            if events:
                grant.started()
                with trio.CancelScope(shield=True):
                    await self._pass_on(opened, events)
        rest = cutter.rest()
        if not self._started or rest:
            with trio.CancelScope(shield=True):
                await self._pass_on(opened, rest)
        self.complete = True
        with trio.CancelScope(shield=True):
            await self._caller.end_stream()
        return Result.ANSWERED

    def _gap_bound(self) -> float:
        gap = self._call.job.route.gap_target or self._call.job.route.target
        return max(SILENT_FLOOR, SILENT_TARGETS * gap)

    async def _pass_on(self, opened: sending.Opened, events: bytes) -> None:
        if not self._started:
            self._started = True
            self.first_at = trio.current_time()
            headers = [
                (name, value)
                for name, value in opened.head.forwarded_headers
                if name.lower() != b'content-length'
            ]
            if self._closes:
                headers.append((b'connection', b'close'))
            await self._caller.start(opened.status, headers)
        if not events:
            return
        now = trio.current_time()
        if self._event_at:
            self.longest_gap = max(self.longest_gap, now - self._event_at)
        self._event_at = now
        await self._caller.send_events(events)
        if self._call.kind is routing.RequestKind.RESUMABLE_STREAM:
            self._note_last(events)

    def _note_last(self, events: bytes) -> None:
        try:
            last = sse.last_id(events)
        except ValueError as exc:
            logger.warning('an event has a malformed id: %s', exc)
            return
        if last is not None:
            self._last_event = last
