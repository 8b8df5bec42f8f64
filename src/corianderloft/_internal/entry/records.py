"""What became of recent requests: one log line each, and `explain`."""

import collections
import dataclasses
import logging
import time
import typing

import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.entry import calls
from corianderloft._internal.metrics import registry
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests
from corianderloft._internal.models import states

logger = logging.getLogger(__name__)

MAX_TRIES = 16
"""Attempts of one request that its record keeps."""

REQUESTS = registry.counter(
    'requests_total', 'Requests that ended, by service, class and outcome.'
)
FIRST_TOKENS = registry.counter(
    'first_tokens_total',
    'First tokens or whole plain answers, by service, class and whether '
    'the target was met.',
)
TOKENS = registry.counter(
    'tokens_total',
    'Tokens read from engines, by service, class and whether they went to '
    'a caller.',
)


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
        Tokens that went to the caller.
    outcome : str
        ``running``, ``complete``, ``caller_left`` or the refusal's reason.
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
    request_class = record.origin.request_class
    labels = {
        'service': str(record.origin.service.name),
        'class': str(request_class.name),
    }
    REQUESTS.inc({**labels, 'outcome': record.outcome})
    if record.tokens:
        TOKENS.add({**labels, 'use': 'relayed'}, record.tokens)
    if record.first_token_after is not None:
        met = record.first_token_after <= request_class.first_token_target
        FIRST_TOKENS.inc({**labels, 'met': str(met).lower()})


def _log(record: Record) -> None:
    fields = record.as_json()
    engines = [str(attempt.engine_id) for attempt in record.tries]
    logger.info(
        'request %s of %s: %s',
        fields['request_id'],
        fields['workspace'],
        record.outcome,
        extra={
            'request_id': fields['request_id'],
            'workspace': fields['workspace'],
            'service': fields['service'],
            'class': fields['class'],
            'outcome': record.outcome,
            'run': fields['run'],
            'tokens': record.tokens,
            'first_token_after_s': record.first_token_after,
            'ended_after_s': record.ended_after,
            'engines': engines,
        },
    )
