"""Forwards a request to backend servers, with retries."""

import collections.abc
import enum
import logging

import trio

from corianderloft._internal.gateway import crash_guard
from corianderloft._internal.gateway import dialect
from corianderloft._internal.gateway.duties import runs
from corianderloft._internal.gateway import hedging
from corianderloft._internal.gateway import life_watch
from corianderloft._internal.gateway import metrics
from corianderloft._internal.gateway import refusals
from corianderloft._internal.gateway import request_log
from corianderloft._internal.gateway import response_ends
from corianderloft._internal.gateway import response_rules
from corianderloft._internal.gateway import response_writer
from corianderloft._internal.gateway import routed_request
from corianderloft._internal.gateway import sending
from corianderloft._internal.gateway import silence
from corianderloft._internal.gateway import stream_relay
from corianderloft._internal.models import routing
from corianderloft._internal.network import engine_pool
from corianderloft._internal.network import exchange
from corianderloft._internal.network import response_memory
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import grants
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer
from corianderloft._internal.relaying import assembly
from corianderloft._internal.relaying import event_ids

logger = logging.getLogger(__name__)

MAX_SENDS = 6
"""Maximum number of sends per request, including those that did not run."""

NO_ARRIVAL = (
    interface.AttemptOutcome.WITHDRAWN,
    interface.AttemptOutcome.NOT_CONNECTED,
)
"""Ends of attempts in which no byte of the request was sent."""

MIN_TIME_LEFT_S = 0.02
"""A request with less time left before its deadline is not sent again."""


StartBeside = collections.abc.Callable[[grants.Grant], None]
"""Starts another attempt with its permission."""


class Result(enum.Enum):
    """Outcome of a request for its caller.

    CUT means that the response started but could not be completed, and
    CALLER_LEFT that there was nobody to respond to.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    CUT = 'cut'
    CALLER_LEFT = 'caller_left'


class RequestForwarder:
    """Forwards one request and relays the response to the caller.

    Parameters
    ----------
    request_placer : Placer
        Assigns the request to a backend server for each send.
    pool : EnginePool
        Connections to backend servers.
    header_dialect : Dialect
        Parses and builds HTTP headers.
    request : RoutedRequest
        The request.
    caller : Exchange
        Receives the response.
    closes_connection : bool
        Whether the caller's connection is closed after the response.
    steps : Steps
        Distances between the IDs of events.
    run_counter : RunCounter
        Counts the runs of the request.

    Attributes
    ----------
    complete : bool
        Whether the end of the response is being sent to the caller; a
        disconnect no longer cancels the request then.
    sends : int
        Number of sends so far.
    engine : str
        ID of the backend server that answered, or of the last one that the
        request was sent to.
    refusal : Refusal or None
        Error response sent instead of a backend server's response.
    """

    def __init__(
        self,
        request_placer: placer.Placer,
        pool: engine_pool.EnginePool,
        header_dialect: dialect.Dialect,
        request: routed_request.RoutedRequest,
        caller: exchange.Exchange,
        closes_connection: bool,
        steps: event_ids.Steps,
        run_counter: runs.RunCounter,
    ) -> None:
        self._placer = request_placer
        self._pool = pool
        self._dialect = header_dialect
        self._request = request
        self._steps = steps
        self._run_counter = run_counter
        self._writer = response_writer.ResponseWriter(
            caller, closes_connection
        )
        self._assembly = assembly.Assembly(
            request.head.resume_after,
            request.kind is routing.RequestKind.RESUMABLE_STREAM,
            steps.greatest(request.job.service),
        )
        self._crash_guard = crash_guard.CrashGuard(
            request_placer.crashes, request.job
        )
        self._hedge = hedging.RequestHedge(
            request_placer, request.job, request.kind.repeatable
        )
        # Attempts that run beside each other, if calls are hedged.
        self._running = 0
        self._tried: set[engines.Key] = set()
        self._may_have_run_on: set[engines.Key] = set()
        self._silent: set[engines.Key] = set()
        self.complete = False
        # Whether the request may have arrived at a server before. Only then
        # does another send count as a retry.
        self._sent_before = False
        self._fallback_response: tuple[sending.ReceivedHead, bytes] | None = (
            None
        )
        self.sends = 0
        self.engine = ''
        self._successor: grants.Grant | None = None
        self._memory = caller.memory
        self._fallback_memory = response_memory.ResponseMemory(None)
        self.refusal: refusals.Refusal | None = None

    @property
    def last_event_id(self) -> int | None:
        """ID after which the stream goes on at another server."""
        return self._assembly.last_id

    @property
    def response(self) -> response_writer.ResponseWriter:
        """What was written to the caller."""
        return self._writer

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have run the request."""
        return bool(self._may_have_run_on)

    async def run(self) -> Result:
        """Forward the request until it is answered or its deadline passes."""
        with trio.CancelScope(deadline=self._request.job.deadline) as timeout:
            try:
                return await self._send_all()
            finally:
                self._release_successor()
                self._hedge.close()
        assert timeout.cancelled_caught
        if self.complete:
            return Result.REFUSED if self.refusal else Result.ANSWERED
        if self._assembly.begun:
            self._writer.abort()
            return Result.CUT
        if self._may_have_run_on:
            return await self._refuse(
                refusals.Refusal(refusals.Reason.TIMED_OUT)
            )
        refusal = refusals.Refusal(
            refusals.Reason.TOO_LATE, placer.DEFAULT_RETRY_AFTER_S
        )
        return await self._refuse(refusal)

    async def _send_all(self) -> Result:
        refusal = refusals.Refusal(
            refusals.Reason.NOT_RUN, placer.DEFAULT_RETRY_AFTER_S
        )
        for _ in range(MAX_SENDS):
            grant = self._take_successor()
            if grant is None:
                if self._sent_before and not self._may_resend():
                    break
                acquired = await self._acquire()
                if isinstance(acquired, refusals.Refusal):
                    refusal = acquired
                    break
                grant = acquired
                if self._sent_before and not self._consume_retry(grant):
                    break
            if self._writer.caller_has_left():
                grant.close(interface.AttemptOutcome.CALLER_LEFT)
                return Result.CALLER_LEFT
            result = await self._send_hedged(grant)
            if result is not None:
                return result
        return await self._give_up(refusal)

    async def _acquire(self) -> grants.Grant | refusals.Refusal:
        """Wait for a backend server, unless the prompt is quarantined.

        That is checked again after the wait in the queue, since other
        requests may have crashed servers meanwhile.
        """
        while True:
            refusal = await self._crash_guard.leave_quarantine()
            if refusal is not None:
                return refusal
            grant = await self._placer.acquire(self._request.job, self._tried)
            if isinstance(grant, interface.Refused):
                reason = refusals.Reason(grant.reason.value)
                return refusals.Refusal(reason, grant.retry_after)
            if not self._crash_guard.is_quarantined():
                return grant
            grant.close(interface.AttemptOutcome.CALLER_LEFT)

    def _may_resend(self) -> bool:
        """Return whether the request may be sent again."""
        job = self._request.job
        if job.deadline - trio.current_time() < MIN_TIME_LEFT_S:
            return False
        if not self._assembly.may_go_on:
            return False
        if not self._may_have_run_on:
            return True
        if not self._request.kind.repeatable:
            return False
        if self._crash_guard.stops_retries():
            return False
        return len(self._may_have_run_on) < job.route.attempts

    def _consume_retry(self, grant: grants.Grant) -> bool:
        job = self._request.job
        now = trio.current_time()
        if self._placer.retries.try_acquire(job.service, now):
            return True
        grant.close(interface.AttemptOutcome.CALLER_LEFT)
        metrics.count_retry_refused(job.service)
        request_log.retry_refused(job, self.sends)
        return False

    def _find_successor(self) -> bool:
        """Acquire a server that takes the request over now, if there is one.

        The present server is left only after that: a request that had left
        it without would be refused or cut although it may still be served.
        """
        job = self._request.job
        now = trio.current_time()
        if not self._may_resend() or not self._placer.retries.allows(
            job.service, now
        ):
            return False
        self._successor = self._placer.try_acquire(job, self._tried)
        if self._successor is None:
            return False
        return self._placer.retries.try_acquire(job.service, now)

    def _take_successor(self) -> grants.Grant | None:
        successor, self._successor = self._successor, None
        return successor

    def _release_successor(self) -> None:
        successor = self._take_successor()
        if successor is not None:
            successor.close(interface.AttemptOutcome.CALLER_LEFT)

    async def _give_up(self, refusal: refusals.Refusal) -> Result:
        if self._assembly.begun:
            self._writer.abort()
            return Result.CUT
        if self._fallback_response is not None:
            received, body = self._fallback_response
            return await self._deliver(received, body)
        if self._may_have_run_on:
            refusal = refusals.Refusal(refusals.Reason.OUTCOME_UNKNOWN)
        return await self._refuse(refusal)

    async def _refuse(self, refusal: refusals.Refusal) -> Result:
        self.refusal = refusal
        self.complete = True
        await self._writer.refuse(refusal)
        return Result.REFUSED

    async def _send_hedged(self, grant: grants.Grant) -> Result | None:
        """Send; a second attempt of a call may run beside this one.

        The first good answer wins, and the other attempt is cancelled.
        Returns None if another backend server may be tried.
        """
        if self._request.kind.streamed or not self._hedge.possible:
            return await self._send_once(grant, None)
        result: Result | None = None

        def start(started: grants.Grant) -> None:
            self._running += 1
            nursery.start_soon(run, started)

        async def run(started: grants.Grant) -> None:
            nonlocal result
            ended = await self._send_once(started, start)
            self._running -= 1
            if ended is not None or not self._running:
                result = ended
                nursery.cancel_scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                start(grant)
        finally:
            self._running = 0
        return result

    async def _send_once(
        self, grant: grants.Grant, start_beside: StartBeside | None
    ) -> Result | None:
        """Send once; return None if another backend server may be tried.

        Parameters
        ----------
        grant : Grant
            Permission to send.
        start_beside : callable or None
            Starts a second attempt beside this one; None if the request must
            leave this server first.
        """
        self.sends += 1
        self._hedge.record_send(self.sends)
        engine = grant.engine
        self._tried.add(engine.key)
        self.engine = engine.engine_id
        attempt = sending.SendAttempt(
            self._pool,
            self._dialect,
            engine,
            self._request,
            self._run_counter.run(self._request.job.workspace),
        )
        outcome = interface.AttemptOutcome.CALLER_LEFT
        if not engine.serves_model:
            attempt.run.began()
        # A request that was sent may have run unless the send or the
        # response shows that it did not.
        self._may_have_run_on.add(engine.key)
        request_log.sent(self._request.job, engine, self.sends)
        try:
            result = await self._send_with_timeout(
                attempt, grant, start_beside
            )
            if isinstance(result, Result):
                outcome = interface.AttemptOutcome.COMPLETE
                self._hedge.record_answer(engine)
                self.engine = engine.engine_id
                return result
            result = await self._crash_guard.check(attempt, engine, result)
            outcome = result.outcome
            self._sent_before |= outcome not in NO_ARRIVAL
            if not result.may_have_run:
                self._may_have_run_on.discard(engine.key)
                attempt.run.did_not_run()
            request_log.send_failed(
                self._request.job, engine, result, attempt.progress
            )
            return None
        finally:
            if (
                outcome is interface.AttemptOutcome.CALLER_LEFT
                and trio.current_time() >= self._request.job.deadline
            ):
                outcome = interface.AttemptOutcome.TIMED_OUT
            elif (
                outcome is interface.AttemptOutcome.CALLER_LEFT
                and self.complete
            ):
                outcome = interface.AttemptOutcome.LOST
            if not attempt.may_have_sent:
                attempt.run.did_not_run()
            attempt.close()
            grant.close(outcome)

    async def _send_with_timeout(
        self,
        attempt: sending.SendAttempt,
        grant: grants.Grant,
        start_beside: StartBeside | None,
    ) -> Result | sending.SendFailure:
        """Send once; leave a silent server if another one takes over."""
        job = self._request.job
        attempts_left = job.route.attempts > len(self._may_have_run_on)
        if not self._request.kind.repeatable or not attempts_left:
            return await self._receive(attempt, grant, None)
        sent_at = trio.current_time()
        watch = silence.SilenceWatch(
            silence.timeout(job.route.target),
            silence.timeout(job.route.gap_target or job.route.target),
            lambda: self._leave_silent(grant.engine),
            self._hedge.delay(grant),
            lambda: self._leave_for_hedge(grant, sent_at, start_beside),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run, nursery.cancel_scope)
            result = await self._receive(attempt, grant, watch)
            watch.pause()
            nursery.cancel_scope.cancel()
            # The watch may have expired while the result was on its way.
            self._release_successor()
            return result
        if self.complete:
            # The end was written when the watch had already expired.
            return Result.ANSWERED
        assert watch.expired
        if watch.moved:
            return sending.SendFailure(
                interface.AttemptOutcome.MOVED, True, 'another may be faster'
            )
        return sending.SendFailure(
            interface.AttemptOutcome.SILENT, True, 'nothing in time'
        )

    def _leave_for_hedge(
        self,
        grant: grants.Grant,
        sent_at: float,
        start_beside: StartBeside | None,
    ) -> bool:
        """Start a second attempt; return whether this server is left for it.

        A stream is left before the second run starts: no two servers may work
        on one for long.
        """
        second = self._hedge.try_start(
            grant,
            trio.current_time() - sent_at,
            self._assembly.begun,
            self._may_resend() and not self._crash_guard.is_quarantined(),
            self._tried,
        )
        if second is None:
            return False
        if start_beside is not None:
            start_beside(second)
            return False
        self._successor = second
        return True

    def _leave_silent(self, engine: engines.Engine) -> bool:
        if self._running > 1:
            return False
        if self._find_successor():
            return True
        self._release_successor()
        if engine.key not in self._silent:
            self._silent.add(engine.key)
            self._placer.record_silence(engine)
            request_log.silent_server_kept(self._request.job, engine)
        return False

    async def _receive(
        self,
        attempt: sending.SendAttempt,
        grant: grants.Grant,
        watch: silence.SilenceWatch | None,
    ) -> Result | sending.SendFailure:
        """Send the request and deliver the response.

        A server is watched before its response if it has sent one without a
        length.
        """
        if not self._pool.sends_without_length(grant.engine.key):
            return await self._exchange(attempt, grant, watch, None)
        async with life_watch.watching(self._pool, grant.engine) as life:
            result = await self._exchange(attempt, grant, watch, life)
        return result

    async def _exchange(
        self,
        attempt: sending.SendAttempt,
        grant: grants.Grant,
        watch: silence.SilenceWatch | None,
        life: life_watch.LifeWatch | None,
    ) -> Result | sending.SendFailure:
        resumed_after = self._assembly.last_id
        received = await attempt.open(resumed_after)
        if isinstance(received, sending.SendFailure):
            return received
        if self._assembly.begun or resumed_after is not None:
            request_log.continuation_received(
                self._request.job, grant.engine, resumed_after, received
            )
        if not received.ends_with_connection:
            return await self._read(attempt, received, grant, watch, None)
        self._pool.record_no_length(grant.engine.key)
        if life is not None:
            return await self._read(attempt, received, grant, watch, life)
        async with life_watch.watching(self._pool, grant.engine) as life:
            result = await self._read(attempt, received, grant, watch, life)
        return result

    async def _read(
        self,
        attempt: sending.SendAttempt,
        received: sending.ReceivedHead,
        grant: grants.Grant,
        watch: silence.SilenceWatch | None,
        life: life_watch.LifeWatch | None,
    ) -> Result | sending.SendFailure:
        """Read a response and deliver it."""
        if sending.is_stream(self._request.kind, received):
            return await self._relay(attempt, received, grant, watch, life)
        grant.started()
        if received.status < 300:
            attempt.run.began()
        length = received.length
        if self._request.method == 'HEAD':
            length = None
        if length is not None and length > sending.MAX_RESPONSE_BYTES:
            return response_ends.too_long(length)
        memory = response_memory.ResponseMemory(self._memory)
        if not memory.start(length):
            # The server waits for this host, which is not its silence.
            if watch is not None:
                watch.pause()
            if not await memory.wait(length):
                return response_ends.no_memory()
            if watch is not None:
                watch.restart()
        if watch is not None:
            watch.note_started()
        body = await attempt.read_all(memory.reserve_part)
        if watch is not None:
            watch.pause()
        if isinstance(body, sending.SendFailure):
            memory.discard()
            return body
        end = await response_ends.run_end(attempt, life)
        if end is assembly.RunEnd.WITH_SERVER:
            memory.discard()
            return response_ends.ended_with_server()
        result = await self._check_response(received, body)
        if self._fallback_response == (received, body):
            self._fallback_memory.discard()
            self._fallback_memory = memory
        elif isinstance(result, sending.SendFailure):
            memory.discard()
        return result

    async def _check_response(
        self, received: sending.ReceivedHead, body: bytes
    ) -> Result | sending.SendFailure:
        """Deliver a complete response unless the request should be retried."""
        if self.complete:
            return sending.SendFailure(
                interface.AttemptOutcome.LOST, True, 'another was answered'
            )
        disposition = response_rules.classify(
            received.status, received.head, self._request.kind.repeatable
        )
        detail = f'status {received.status}'
        if disposition is response_rules.Disposition.NOT_RUN:
            return sending.SendFailure(
                interface.AttemptOutcome.NOT_RUN, False, detail
            )
        rejected = self._assembly.check_whole()
        if rejected is not None:
            return response_ends.no_continuation(rejected, received.status)
        match disposition:
            case response_rules.Disposition.OUTCOME_UNKNOWN:
                if received.status < 300:
                    return response_ends.unsigned('an answer')
                return sending.SendFailure(
                    interface.AttemptOutcome.ERROR_ANSWER,
                    True,
                    f'{detail} without the statement that it did not run',
                )
            case response_rules.Disposition.REPEAT_OR_DELIVER:
                self._fallback_response = received, body
                return sending.SendFailure(
                    interface.AttemptOutcome.ERROR_ANSWER, True, detail
                )
        return await self._deliver(received, body)

    async def _deliver(
        self, received: sending.ReceivedHead, body: bytes
    ) -> Result:
        self._crash_guard.record_complete(received)
        self.complete = True
        await self._writer.deliver(received, body)
        return Result.ANSWERED

    async def _relay(
        self,
        attempt: sending.SendAttempt,
        received: sending.ReceivedHead,
        grant: grants.Grant,
        watch: silence.SilenceWatch | None,
        life: life_watch.LifeWatch | None,
    ) -> Result | sending.SendFailure:
        relay = stream_relay.StreamRelay(
            self._assembly, self._writer, self._record_step
        )
        grant.on_started = attempt.run.began
        failure = await relay.run(attempt, received, grant, watch, life)
        if failure is not None:
            return failure
        self.complete = True
        self._crash_guard.record_complete(received)
        await self._writer.end(received)
        return Result.ANSWERED

    def _record_step(self, step: int) -> None:
        self._steps.record(self._request.job.service, step)
