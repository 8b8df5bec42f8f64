"""A dispatcher that sees all queues and the true state of engines."""

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

_SLOW = 1.5
_RETRY_DELAY = 0.05


class Oracle:
    """One queue for all hosts, strict tiers, those in time first."""

    def __init__(
        self,
        template: catalog.ServiceTemplate,
        fakes: dict[ids.EngineId, engine_module.FakeEngine],
        current: collections.abc.Sequence[backends.Backend],
    ) -> None:
        self._targets = {
            c.name: c.first_token_target for c in template.classes
        }
        self._fakes = fakes
        self._views = [engines.EngineView(b) for b in current]
        self._queue: list[waiting.Waiter] = []
        self._sequence = itertools.count()

    async def acquire(
        self,
        ticket: requests.Ticket,
        exclude: collections.abc.Set[ids.EngineId] = frozenset(),
    ) -> interface.Grant | requests.Refused:
        """Queue a request until an engine is truly free."""
        target = ticket.arrived + self._targets[ticket.class_name]
        waiter = waiting.Waiter(
            ticket,
            waiting.Lane(ticket.tier),
            0.0,
            1,
            target - ticket.prompt_tokens / workload.PREFILL_RATE,
            exclude,
            next(self._sequence),
        )
        self._queue.append(waiter)
        self.pump()
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

    def pump(self) -> None:
        """Grant while engines are free."""
        while self._queue:
            now = trio.current_time()
            waiter = min(self._queue, key=lambda w: _order(w, now))
            free = [v for v in self._views if self._is_free(v, waiter.lane)]
            if not free:
                return
            chosen = min(free, key=lambda v: self._badness(v, waiter.lane))
            self._queue.remove(waiter)
            chosen.acquire_slot(waiter.lane)
            waiter.resolve(grants.AttemptGrant(waiter, chosen, self))

    def _badness(
        self, view: engines.EngineView, lane: waiting.Lane
    ) -> tuple[bool, int]:
        full = view.in_flight >= workload.SLOTS
        return full, view.in_flight_at_or_above(lane)

    def _is_free(self, view: engines.EngineView, lane: waiting.Lane) -> bool:
        fake = self._fakes[view.backend.engine_id]
        return (
            fake.up
            and fake.slow_factor < _SLOW
            and view.in_flight_at_or_above(lane) < workload.SLOTS
        )

    def on_first_token(self, grant: grants.AttemptGrant, now: float) -> None:
        """Learn nothing: everything is known."""

    def on_progress(
        self, grant: grants.AttemptGrant, tokens: int, now: float
    ) -> None:
        """Learn nothing."""

    def on_close(
        self,
        grant: grants.AttemptGrant,
        end: interface.AttemptEnd,
        now: float,
    ) -> None:
        """Take the slot back."""
        grant.engine.release_slot(grant.waiter.lane)
        self.pump()

    def retry(
        self,
        ticket: requests.Ticket,
        end: interface.AttemptEnd,
        attempts: int,
        may_have_run: bool,
        relayed_tokens: int,
    ) -> interface.RetryNow | interface.GiveUp:
        """Retry whatever failed."""
        return interface.RetryNow(reasons.RetryReason.RESUME, _RETRY_DELAY)

    def hedge_after(self, ticket: requests.Ticket) -> float | None:
        """Return None."""
        return None

    def report_load(self, report: backends.LoadReport) -> None:
        """Ignore reports; take the chance to look at the engines."""
        self.pump()


def _order(waiter: waiting.Waiter, now: float) -> tuple[int, bool, float, int]:
    late = now > waiter.start_target
    return (
        waiter.lane.tier,
        late,
        waiter.start_target,
        waiter.sequence,
    )
