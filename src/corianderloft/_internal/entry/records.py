"""Records of recent requests, for the log, metrics and `explain`."""

import collections
import dataclasses
import time
import typing

import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.entry import calls
from corianderloft._internal.logs import outcomes
from corianderloft._internal.metrics import classes
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests
from corianderloft._internal.models import states

ANSWERED = 'answered'
"""Outcome of a request whose complete response was sent."""

MAX_RECORDED_ATTEMPTS = 16
"""Number of most recent attempts kept in a record."""


@dataclasses.dataclass
class AttemptRecord:
    """One attempt of a request.

    Attributes
    ----------
    engine_id : EngineId
        Backend server of the attempt.
    started_after_s : float
        Time from the arrival of the request, in seconds.
    end : AttemptEnd or None
        How it ended; None while it is active.
    may_have_run : bool
        Whether the backend server may have run the request.
    """

    engine_id: ids.EngineId
    started_after_s: float
    end: interface.AttemptEnd | None = None
    may_have_run: bool = True


@dataclasses.dataclass
class RequestRecord:
    """Progress and outcome of one request.

    Attributes
    ----------
    origin : Origin
        Workspace, service and class of the request.
    arrived_trio_s : float
        Arrival time on Trio's clock, in seconds.
    arrived_unix_s : float
        Arrival time in seconds since 1970 (Unix time).
    attempts : list of AttemptRecord
        Attempts in order.
    first_token_after_s : float or None
        Seconds from arrival to the first token or whole response.
    tokens : int
        Tokens read from engines.
    wasted_tokens : int
        Tokens read while no caller was connected.
    outcome : str
        ``running``, ``answered``, ``caller_left`` or the refusal's reason.
    run : RunState or None
        Whether a refused request ran.
    detail : str
        Message of the refusal.
    ended_after_s : float or None
        Seconds from arrival to the outcome.
    """

    origin: calls.Origin
    arrived_trio_s: float
    arrived_unix_s: float = dataclasses.field(default_factory=time.time)
    attempts: list[AttemptRecord] = dataclasses.field(default_factory=list)
    first_token_after_s: float | None = None
    tokens: int = 0
    wasted_tokens: int = 0
    outcome: str = 'running'
    run: states.RunState | None = None
    detail: str = ''
    ended_after_s: float | None = None

    def begin_attempt(self, engine_id: ids.EngineId) -> AttemptRecord:
        """Add an attempt and return its record."""
        attempt = AttemptRecord(
            engine_id, trio.current_time() - self.arrived_trio_s
        )
        self.attempts.append(attempt)
        del self.attempts[:-MAX_RECORDED_ATTEMPTS]
        return attempt

    def note_first_token(self) -> None:
        """Record the arrival of the first token or the whole response."""
        if self.first_token_after_s is None:
            self.first_token_after_s = (
                trio.current_time() - self.arrived_trio_s
            )

    def run_state(self) -> states.RunState:
        """Return whether the request ran, as far as known."""
        if self.tokens:
            return states.RunState.RAN
        if any(attempt.may_have_run for attempt in self.attempts):
            return states.RunState.UNKNOWN
        return states.RunState.NOT_RUN

    def met_targets(self) -> bool:
        """Return whether an answered request met its class's targets."""
        request_class = self.origin.request_class
        first_token_s = self.first_token_after_s
        if (
            first_token_s is None
            or first_token_s > request_class.first_token_target
        ):
            return False
        if self.tokens < 2 or self.ended_after_s is None:
            return True
        token_gap_s = (self.ended_after_s - first_token_s) / (self.tokens - 1)
        return token_gap_s <= request_class.token_gap_target

    def as_json(self) -> dict[str, typing.Any]:
        """Return the record for the operator port."""
        origin = self.origin
        return {
            'request_id': origin.caller_request_id,
            'workspace': origin.workspace.workspace_id,
            'service': origin.service.name,
            'class': origin.request_class.name,
            'tier': origin.request_class.tier,
            'arrived': self.arrived_unix_s,
            'first_token_after_s': self.first_token_after_s,
            'first_token_target_s': origin.request_class.first_token_target,
            'ended_after_s': self.ended_after_s,
            'tokens': self.tokens,
            'outcome': self.outcome,
            'run': None if self.run is None else self.run.value,
            'detail': self.detail,
            'tries': [
                {
                    'engine_id': attempt.engine_id,
                    'started_s': attempt.started_after_s,
                    'end': None if attempt.end is None else attempt.end.value,
                    'may_have_run': attempt.may_have_run,
                }
                for attempt in self.attempts
            ],
        }


class RecordStore:
    """Records of the most recent requests; the oldest are evicted.

    Parameters
    ----------
    limit : int
        Maximum number of records.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._records: collections.OrderedDict[
            ids.RequestId, RequestRecord
        ] = collections.OrderedDict()

    def begin(self, origin: calls.Origin) -> RequestRecord:
        """Add a record for a new request and return it."""
        record = RequestRecord(origin, trio.current_time())
        self._records.pop(origin.request_id, None)
        self._records[origin.request_id] = record
        while len(self._records) > self._limit:
            self._records.popitem(last=False)
        return record

    def find(self, request_id: str) -> list[RequestRecord]:
        """Return the records of a request id, qualified or not."""
        exact = self._records.get(ids.RequestId(request_id))
        if exact is not None:
            return [exact]
        return [
            record
            for record in self._records.values()
            if record.origin.caller_request_id == request_id
        ]

    def end(
        self,
        record: RequestRecord,
        outcome: str,
        refused: requests.Refused | None,
    ) -> None:
        """Record, count and log the outcome of a request."""
        record.outcome = outcome
        record.ended_after_s = trio.current_time() - record.arrived_trio_s
        if refused is not None:
            record.run = refused.run
            record.detail = refused.detail
        _count(record)
        _log(record)


def _count(record: RequestRecord) -> None:
    origin = record.origin
    class_id = classes.ClassId(
        origin.service.name,
        origin.request_class.name,
        origin.request_class.tier,
    )
    classes.record(
        class_id,
        classes.RequestOutcome(
            record.outcome,
            record.outcome == ANSWERED and record.met_targets(),
            record.tokens - record.wasted_tokens,
            record.wasted_tokens,
            record.first_token_after_s,
        ),
    )


def _log(record: RequestRecord) -> None:
    origin = record.origin
    last_engine = record.attempts[-1].engine_id if record.attempts else None
    run = record.run_state() if record.run is None else record.run
    if record.outcome == ANSWERED:
        run = states.RunState.RAN
    queued_s = (
        record.attempts[0].started_after_s
        if record.attempts
        else record.ended_after_s
    )
    outcomes.log_outcome(
        outcomes.RequestLine(
            request_id=origin.request_id,
            workspace=origin.workspace.workspace_id,
            service=origin.service.name,
            class_name=origin.request_class.name,
            tier=origin.request_class.tier,
            outcome=record.outcome,
            run=run.value,
            engine=last_engine,
            attempts=len(record.attempts),
            queued=queued_s or 0.0,
            first_token=record.first_token_after_s,
            total=record.ended_after_s or 0.0,
            tokens=record.tokens,
        )
    )
