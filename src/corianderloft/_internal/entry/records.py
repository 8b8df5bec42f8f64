"""What became of recent requests: one log line each, and `explain`."""

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
"""Outcome of a request whose whole answer went to the caller."""

MAX_TRIES = 16
"""Attempts of one request that its record keeps."""


@dataclasses.dataclass
class Try:
    """One attempt of a request.

    Attributes
    ----------
    engine_id : EngineId
        Backend server that it went to.
    started : float
        Seconds after the request arrived.
    end : AttemptEnd or None
        How it ended; None while it runs.
    may_have_run : bool
        Whether the backend server may have seen the request.
    """

    engine_id: ids.EngineId
    started: float
    end: interface.AttemptEnd | None = None
    may_have_run: bool = True


@dataclasses.dataclass
class Record:
    """What happened to one request.

    Attributes
    ----------
    origin : Origin
        Who sent it.
    arrived : float
        When, in seconds since 1970.
    tries : list of Try
        Attempts in order.
    first_token_after : float or None
        Seconds from arrival to the first token or whole answer.
    tokens : int
        Tokens read from engines.
    wasted_tokens : int
        Tokens that were read when no caller was there.
    outcome : str
        ``running``, ``answered``, ``caller_left`` or the refusal's reason.
    run : RunState or None
        Whether a refused request ran.
    detail : str
        Message of the refusal.
    ended_after : float or None
        Seconds from arrival to the outcome.
    """

    origin: calls.Origin
    began: float
    arrived: float = dataclasses.field(default_factory=time.time)
    tries: list[Try] = dataclasses.field(default_factory=list)
    first_token_after: float | None = None
    tokens: int = 0
    wasted_tokens: int = 0
    outcome: str = 'running'
    run: states.RunState | None = None
    detail: str = ''
    ended_after: float | None = None

    def begin_try(self, engine_id: ids.EngineId) -> Try:
        """Note an attempt."""
        attempt = Try(engine_id, trio.current_time() - self.began)
        self.tries.append(attempt)
        del self.tries[:-MAX_TRIES]
        return attempt

    def note_first_token(self) -> None:
        """Note that the first token or the whole answer arrived."""
        if self.first_token_after is None:
            self.first_token_after = trio.current_time() - self.began

    def run_state(self) -> states.RunState:
        """Return what is known about whether the request ran."""
        if self.tokens:
            return states.RunState.RAN
        if any(attempt.may_have_run for attempt in self.tries):
            return states.RunState.UNKNOWN
        return states.RunState.NOT_RUN

    def met_targets(self) -> bool:
        """Return whether an answered request met its class's targets."""
        request_class = self.origin.request_class
        first = self.first_token_after
        if first is None or first > request_class.first_token_target:
            return False
        if self.tokens < 2 or self.ended_after is None:
            return True
        gap = (self.ended_after - first) / (self.tokens - 1)
        return gap <= request_class.token_gap_target

    def as_json(self) -> dict[str, typing.Any]:
        """Return the form that operators read."""
        origin = self.origin
        return {
            'request_id': origin.caller_id,
            'workspace': origin.workspace.workspace_id,
            'service': origin.service.name,
            'class': origin.request_class.name,
            'tier': origin.request_class.tier,
            'arrived': self.arrived,
            'first_token_after_s': self.first_token_after,
            'first_token_target_s': origin.request_class.first_token_target,
            'ended_after_s': self.ended_after,
            'tokens': self.tokens,
            'outcome': self.outcome,
            'run': None if self.run is None else self.run.value,
            'detail': self.detail,
            'tries': [
                {
                    'engine_id': attempt.engine_id,
                    'started_s': attempt.started,
                    'end': None if attempt.end is None else attempt.end.value,
                    'may_have_run': attempt.may_have_run,
                }
                for attempt in self.tries
            ],
        }


class Records:
    """The last requests of this host, oldest dropped first.

    Parameters
    ----------
    limit : int
        Requests kept.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._records: collections.OrderedDict[ids.RequestId, Record] = (
            collections.OrderedDict()
        )

    def begin(self, origin: calls.Origin) -> Record:
        """Return the record of a new request."""
        record = Record(origin, trio.current_time())
        self._records.pop(origin.request_id, None)
        self._records[origin.request_id] = record
        while len(self._records) > self._limit:
            self._records.popitem(last=False)
        return record

    def find(self, request_id: str) -> list[Record]:
        """Return the records of an id, with or without its workspace."""
        exact = self._records.get(ids.RequestId(request_id))
        if exact is not None:
            return [exact]
        return [
            record
            for record in self._records.values()
            if record.origin.caller_id == request_id
        ]

    def end(
        self, record: Record, outcome: str, refused: requests.Refused | None
    ) -> None:
        """Note and log the outcome of a request."""
        record.outcome = outcome
        record.ended_after = trio.current_time() - record.began
        if refused is not None:
            record.run = refused.run
            record.detail = refused.detail
        _count(record)
        _log(record)


def _count(record: Record) -> None:
    origin = record.origin
    class_id = classes.ClassId(
        origin.service.name,
        origin.request_class.name,
        origin.request_class.tier,
    )
    classes.record(
        class_id,
        classes.RequestEnd(
            record.outcome,
            record.outcome == ANSWERED and record.met_targets(),
            record.tokens - record.wasted_tokens,
            record.wasted_tokens,
            record.first_token_after,
        ),
    )


def _log(record: Record) -> None:
    origin = record.origin
    last = record.tries[-1].engine_id if record.tries else None
    run = record.run_state() if record.run is None else record.run
    if record.outcome == ANSWERED:
        run = states.RunState.RAN
    queued = record.tries[0].started if record.tries else record.ended_after
    outcomes.log_outcome(
        outcomes.RequestLine(
            request_id=origin.request_id,
            workspace=origin.workspace.workspace_id,
            service=origin.service.name,
            class_name=origin.request_class.name,
            tier=origin.request_class.tier,
            outcome=record.outcome,
            run=run.value,
            engine=last,
            attempts=len(record.tries),
            queued=queued or 0.0,
            first_token=record.first_token_after,
            total=record.ended_after or 0.0,
            tokens=record.tokens,
        )
    )
