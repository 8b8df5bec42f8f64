"""Reference dispatcher with global knowledge of queues and engines."""

import collections.abc
import itertools

import trio

from bench.policy import engine as engine_module
from bench.policy import workload
from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import grants
from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import refusals
from corianderloft._internal.decisions import waiting
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests

_SLOW_FACTOR_LIMIT = 1.5
"""Engines at or above this slow-down get no requests."""

_RETRY_DELAY_S = 0.05


class Oracle:
    """Dispatcher with a single queue for all hosts.

    Tiers have strict priority. Within a tier, requests that can still meet
    their target come before those that can't.
    """

    def __init__(
        self,
        template: catalog.ServiceTemplate,
        fakes: dict[ids.EngineId, engine_module.FakeEngine],
        service_backends: collections.abc.Sequence[backends.Backend],
    ) -> None:
        self._targets = {
            c.name: c.first_token_target for c in template.classes
        }
        self._fakes = fakes
        self._views = [engines.EngineView(b) for b in service_backends]
        self._queue: list[waiting.Waiter] = []
        self._sequence = itertools.count()

    async def acquire(
        self,
        ticket: requests.Ticket,
        exclude: collections.abc.Set[ids.EngineId] = frozenset(),
    ) -> interface.Grant | requests.Refused:
        """Queue a request until an engine has a free slot."""
        target = ticket.arrived + self._targets[ticket.class_name]
        waiter = waiting.Waiter(
            ticket,
            waiting.Lane(ticket.tier),
            0.0,
            1,
            target - ticket.prompt_tokens / workload.PREFILL_TOKENS_PER_S,
            exclude,
            next(self._sequence),
        )
        self._queue.append(waiter)
        self.grant_waiting()
        try:
            with trio.move_on_at(ticket.start_by):
                await waiter.woken.wait()
        except trio.Cancelled:
            if isinstance(waiter.outcome, grants.AttemptGrant):
                waiter.outcome.close(interface.AttemptEnd.CANCELLED)
            elif waiter in self._queue:
                self._queue.remove(waiter)
            raise
        if waiter.outcome is None:
            self._queue.remove(waiter)
            return refusals.not_run(reasons.RefusalReason.DEADLINE, 'late')
        return waiter.outcome

    def grant_waiting(self) -> None:
        """Grant queued requests in order while engines have free slots."""
        while self._queue:
            now = trio.current_time()
            waiter = min(self._queue, key=lambda w: _queue_key(w, now))
            free = [v for v in self._views if self._is_free(v, waiter.lane)]
            if not free:
                return
            chosen = min(free, key=lambda v: self._load_key(v, waiter.lane))
            self._queue.remove(waiter)
            chosen.acquire_slot(waiter.lane)
            waiter.resolve(grants.AttemptGrant(waiter, chosen, self))

    def _load_key(
        self, view: engines.EngineView, lane: waiting.Lane
    ) -> tuple[bool, int]:
        full = view.in_flight >= workload.SLOTS_PER_ENGINE
        return full, view.in_flight_at_or_above(lane)

    def _is_free(self, view: engines.EngineView, lane: waiting.Lane) -> bool:
        fake = self._fakes[view.backend.engine_id]
        return (
            fake.up
            and fake.slow_factor < _SLOW_FACTOR_LIMIT
            and view.in_flight_at_or_above(lane) < workload.SLOTS_PER_ENGINE
        )

    def on_first_token(self, grant: grants.AttemptGrant, now: float) -> None:
        """Do nothing, since the engine state is read directly."""

    def on_progress(
        self, grant: grants.AttemptGrant, tokens: int, now: float
    ) -> None:
        """Do nothing, since the engine state is read directly."""

    def on_close(
        self,
        grant: grants.AttemptGrant,
        end: interface.AttemptEnd,
        now: float,
    ) -> None:
        """Release the slot and grant queued requests."""
        grant.engine.release_slot(grant.waiter.lane)
        self.grant_waiting()

    def retry(
        self,
        ticket: requests.Ticket,
        end: interface.AttemptEnd,
        attempts: int,
        may_have_run: bool,
        relayed_tokens: int,
    ) -> interface.RetryNow | interface.GiveUp:
        """Retry after every failure, without a limit."""
        return interface.RetryNow(reasons.RetryReason.RESUME, _RETRY_DELAY_S)

    def hedge_after(self, ticket: requests.Ticket) -> float | None:
        """Return None: the oracle never hedges."""
        return None

    def report_load(self, report: backends.LoadReport) -> None:
        """Ignore the report, but check for engines that became free."""
        self.grant_waiting()


def _queue_key(
    waiter: waiting.Waiter, now: float
) -> tuple[int, bool, float, int]:
    late = now > waiter.start_target
    return (
        waiter.lane.tier,
        late,
        waiter.start_target,
        waiter.sequence,
    )
