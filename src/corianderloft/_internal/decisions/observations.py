"""What the relay sees of attempts, and what is learned of it."""

import collections
import collections.abc

from corianderloft._internal.decisions import demand as demand_module
from corianderloft._internal.decisions import engine_set
from corianderloft._internal.decisions import grants
from corianderloft._internal.decisions import health as health_module
from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import lengths as lengths_module
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests

_FAILED_ENDS = frozenset(
    {
        interface.AttemptEnd.CONNECT_FAILED,
        interface.AttemptEnd.CONNECTION_LOST,
        interface.AttemptEnd.SILENT,
        interface.AttemptEnd.BACKEND_REFUSED,
        interface.AttemptEnd.BACKEND_ERROR,
    }
)

_HARD_ENDS = _FAILED_ENDS - {interface.AttemptEnd.BACKEND_ERROR}
"""Ends after which an engine is given nothing for a while."""

_UNKNOWN = 0.7
"""Doubt from which an engine counts as not known."""

_TRIAL_WAIT = 1.3
"""Times the usual wait after which a trial is hedged."""


class Observations:
    """Learns from the attempts of one service.

    Attributes
    ----------
    demand : Demand
        What each lane has in flight and waiting.
    lengths : Lengths
        History of answers.
    running : Counter of RequestId
        Attempts in flight of each request.
    trials : set of RequestId
        Those whose engine is on trial or not known.
    """

    def __init__(
        self,
        cfg: plugins.Settings,
        used: engine_set.EngineSet,
        health: health_module.Health,
        scene: plugins.Scene,
        slot_freed: collections.abc.Callable[[float], None],
    ) -> None:
        self._cfg = cfg
        self._engine_set = used
        self._health = health
        self._scene = scene
        self._slot_freed = slot_freed
        self.demand = demand_module.Demand()
        self.lengths = lengths_module.Lengths()
        self.running: collections.Counter[ids.RequestId] = (
            collections.Counter()
        )
        self.trials: set[ids.RequestId] = set()
        self.limiter: plugins.Limiter | None = None
        self.hedge_rule: plugins.HedgeRule | None = None

    def saw_grant(self, grant: grants.AttemptGrant, now: float) -> None:
        """Take in that an attempt begins."""
        waiter = grant.waiter
        engine = grant.engine
        if engine.on_trial or engine.doubt(now) > _UNKNOWN:
            self.trials.add(waiter.ticket.request_id)
        self.demand.left_queue(waiter, now)
        self.demand.started(waiter, now)
        grant.engine.acquire_slot(waiter.lane)
        used = self._engine_set.routes_of(waiter.ticket.workspace)
        used.started(grant.engine, waiter.cost)
        self.running[waiter.ticket.request_id] += 1

    def on_first_token(self, grant: grants.AttemptGrant, now: float) -> None:
        """Take in the first token of an attempt."""
        ticket = grant.waiter.ticket
        engine = grant.engine
        wait = now - grant.started
        engine.streams += 1
        engine.last_progress = now
        self._health.answered(engine, self._engine_set.live, now)
        usual = self._health.usual_wait(ticket.class_name, wait)
        engine.saw_wait(wait, usual, now)
        if self.hedge_rule is not None and not grant.waiter.lane.long:
            self.hedge_rule.first_token(wait)
        self._scene.prefixes.add(
            engine.backend.engine_id, ticket.prefix_hashes
        )

    def on_progress(
        self, grant: grants.AttemptGrant, tokens: int, now: float
    ) -> None:
        """Take in tokens and lower the priority of a job that runs on."""
        grant.engine.saw_tokens(tokens, grant.last_progress, now)
        if grant.tokens > self._cfg.long_cost * 2**grant.long_steps:
            grant.lower()

    def on_close(
        self,
        grant: grants.AttemptGrant,
        end: interface.AttemptEnd,
        now: float,
    ) -> None:
        """Take back the slot of an attempt and give it to the next."""
        self._release(grant, now)
        if end is interface.AttemptEnd.COMPLETE:
            if grant.tokens:
                self.lengths.learn(grant.waiter.ticket, grant.tokens)
            self._health.answered(grant.engine, self._engine_set.live, now)
        elif end in _FAILED_ENDS:
            if self.limiter is not None:
                self.limiter.failed(grant.engine)
            if not _only_waited(grant, end, now):
                self._health.failed(grant.engine, end in _HARD_ENDS, now)
        self._slot_freed(now)

    def _release(self, grant: grants.AttemptGrant, now: float) -> None:
        request_id = grant.waiter.ticket.request_id
        grant.engine.release_slot(grant.waiter.lane)
        grant.engine.streams -= grant.first_token_at is not None
        self.running[request_id] -= 1
        if not self.running[request_id]:
            del self.running[request_id]
            self.trials.discard(request_id)
        self.demand.ended(grant.waiter, now)

    def hedge_after(
        self, ticket: requests.Ticket, target: float
    ) -> float | None:
        """Return the wait before a second attempt; shorter on a trial.

        Work of the lowest tier is not hedged while it is long: it waits
        for higher tiers wherever it goes.
        """
        if self.hedge_rule is None:
            return None
        cost = self.lengths.cost(ticket)
        lane = waiting.Lane(ticket.tier, cost > self._cfg.long_cost)
        if lane.long and not self.demand.has_below(lane):
            return None
        delay = self.hedge_rule.delay(ticket, cost, target)
        if delay is None or ticket.request_id not in self.trials:
            return delay
        usual = self._health.usual_wait_of(ticket.class_name)
        return delay if usual is None else min(delay, usual * _TRIAL_WAIT)

    def is_hedge(self, waiter: waiting.Waiter) -> bool:
        """Return whether another attempt of the request is in flight."""
        return bool(self.running.get(waiter.ticket.request_id))


def _only_waited(
    grant: grants.AttemptGrant, end: interface.AttemptEnd, now: float
) -> bool:
    """Whether silence says nothing against the engine.

    An engine that gives tokens to other streams lets the attempt wait in
    its queue, or the one connection is at fault.
    """
    return (
        end is interface.AttemptEnd.SILENT
        and grant.first_token_at is None
        and grant.engine.streaming(now)
    )
