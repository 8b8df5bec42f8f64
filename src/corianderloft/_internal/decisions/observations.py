"""Records the events of attempts and updates the statistics of a service."""

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

_FAILURE_ENDS = frozenset(
    {
        interface.AttemptEnd.CONNECT_FAILED,
        interface.AttemptEnd.CONNECTION_LOST,
        interface.AttemptEnd.SILENT,
        interface.AttemptEnd.BACKEND_REFUSED,
        interface.AttemptEnd.BACKEND_ERROR,
    }
)

_HARD_FAILURE_ENDS = _FAILURE_ENDS - {interface.AttemptEnd.BACKEND_ERROR}
"""Ends that open the circuit of an engine at once."""

_MAX_UNCERTAINTY = 0.7
"""Speed uncertainty above which a request counts as a probe."""

_PROBE_HEDGE_RATIO = 1.3
"""Ratio of a probe's hedging delay to the typical first-token wait."""


class Observations:
    """Tracks the attempts of one service and learns from their events.

    Attributes
    ----------
    demand : Demand
        In-flight and queued requests by lane.
    lengths : LengthEstimator
        Estimates of answer lengths.
    running : Counter of RequestId
        In-flight attempts of each request.
    probes : set of RequestId
        Requests sent to an engine that is being probed or whose speed is
        uncertain.
    """

    def __init__(
        self,
        cfg: plugins.Settings,
        engines_in_use: engine_set.EngineSet,
        health: health_module.Health,
        context: plugins.BalancerContext,
        on_slot_freed: collections.abc.Callable[[float], None],
    ) -> None:
        self._cfg = cfg
        self._engine_set = engines_in_use
        self._health = health
        self._context = context
        self._on_slot_freed = on_slot_freed
        self.demand = demand_module.Demand()
        self.lengths = lengths_module.LengthEstimator()
        self.running: collections.Counter[ids.RequestId] = (
            collections.Counter()
        )
        self.probes: set[ids.RequestId] = set()
        self.limiter: plugins.Limiter | None = None
        self.hedge_rule: plugins.HedgeRule | None = None

    def on_grant(self, grant: grants.AttemptGrant, now: float) -> None:
        """Handle the start of an attempt."""
        waiter = grant.waiter
        engine = grant.engine
        if (
            engine.needs_probe
            or engine.speed_uncertainty(now) > _MAX_UNCERTAINTY
        ):
            self.probes.add(waiter.ticket.request_id)
        self.demand.on_dequeued(waiter, now)
        self.demand.on_started(waiter, now)
        grant.engine.acquire_slot(waiter.lane)
        workspace_routes = self._engine_set.routes_of(waiter.ticket.workspace)
        workspace_routes.on_started(grant.engine, waiter.cost)
        self.running[waiter.ticket.request_id] += 1

    def on_first_token(self, grant: grants.AttemptGrant, now: float) -> None:
        """Handle the first token of an attempt."""
        ticket = grant.waiter.ticket
        engine = grant.engine
        wait = now - grant.started_at
        engine.active_streams += 1
        engine.last_progress_at = now
        self._health.on_response(engine, self._engine_set.live, now)
        typical = self._health.update_typical_wait(ticket.class_name, wait)
        engine.record_first_token_wait(wait, typical, now)
        if self.hedge_rule is not None and not grant.waiter.lane.long:
            self.hedge_rule.on_first_token(wait)
        self._context.prefixes.add(
            engine.backend.engine_id, ticket.prefix_hashes
        )

    def on_progress(
        self, grant: grants.AttemptGrant, tokens: int, now: float
    ) -> None:
        """Handle more tokens and lower the priority of a long request."""
        grant.engine.record_tokens(tokens, grant.last_progress_at, now)
        if grant.tokens > self._cfg.long_cost * 2**grant.priority_steps:
            grant.lower_priority()

    def on_close(
        self,
        grant: grants.AttemptGrant,
        end: interface.AttemptEnd,
        now: float,
    ) -> None:
        """Release the slot of an attempt and grant queued requests."""
        self._release(grant, now)
        if end is interface.AttemptEnd.COMPLETE:
            if grant.tokens:
                self.lengths.record_answer(grant.waiter.ticket, grant.tokens)
            self._health.on_response(grant.engine, self._engine_set.live, now)
        elif end in _FAILURE_ENDS:
            if self.limiter is not None:
                self.limiter.on_failed(grant.engine)
            if not _engine_still_streams(grant, end, now):
                self._health.on_failed(
                    grant.engine, end in _HARD_FAILURE_ENDS, now
                )
        self._on_slot_freed(now)

    def _release(self, grant: grants.AttemptGrant, now: float) -> None:
        request_id = grant.waiter.ticket.request_id
        grant.engine.release_slot(grant.waiter.lane)
        grant.engine.active_streams -= grant.first_token_at is not None
        self.running[request_id] -= 1
        if not self.running[request_id]:
            del self.running[request_id]
            self.probes.discard(request_id)
        self.demand.on_ended(grant.waiter, now)

    def hedge_after(
        self, ticket: requests.Ticket, target: float
    ) -> float | None:
        """Return the hedging delay in seconds; shorter for a probe.

        Long work of the lowest tier is not hedged, because it waits for
        higher tiers on any engine.
        """
        if self.hedge_rule is None:
            return None
        cost = self.lengths.cost(ticket)
        lane = waiting.Lane(ticket.tier, cost > self._cfg.long_cost)
        if lane.long and not self.demand.has_lower_tier(lane):
            return None
        delay = self.hedge_rule.delay(ticket, cost, target)
        if delay is None or ticket.request_id not in self.probes:
            return delay
        typical = self._health.typical_wait(ticket.class_name)
        return (
            delay
            if typical is None
            else min(delay, typical * _PROBE_HEDGE_RATIO)
        )

    def is_hedge(self, waiter: waiting.Waiter) -> bool:
        """Return whether another attempt of the request is in flight."""
        return bool(self.running.get(waiter.ticket.request_id))


def _engine_still_streams(
    grant: grants.AttemptGrant, end: interface.AttemptEnd, now: float
) -> bool:
    """Return whether the engine of a silent attempt sends to other streams.

    Then the attempt is waiting in the engine's queue or only its connection
    is broken, so its silence does not count against the engine.
    """
    return (
        end is interface.AttemptEnd.SILENT
        and grant.first_token_at is None
        and grant.engine.is_streaming(now)
    )
