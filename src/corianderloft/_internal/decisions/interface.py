"""Interface between the relay and the dispatcher of an entry host."""

import collections.abc
import dataclasses
import enum
import typing

from corianderloft._internal.metrics import queues
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests


class AttemptEnd(enum.Enum):
    """How one attempt on a backend server ended."""

    COMPLETE = 'complete'
    CALLER_LEFT = 'caller_left'
    CANCELLED = 'cancelled'
    CONNECT_FAILED = 'connect_failed'
    CONNECTION_LOST = 'connection_lost'
    SILENT = 'silent'
    BACKEND_REFUSED = 'backend_refused'
    BACKEND_ERROR = 'backend_error'


@dataclasses.dataclass(frozen=True)
class RetryNow:
    """Send the request again after ``delay`` seconds.

    Attributes
    ----------
    reason : RetryReason
        Reason, which the metrics count.
    delay : float
        Jittered backoff in seconds.
    """

    reason: reasons.RetryReason
    delay: float


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Do not send the request again."""

    reason: reasons.RetryRefusalReason


class Grant(typing.Protocol):
    """Permission to run one attempt on one backend server.

    The relay reports the attempt's events and calls `close` exactly once.
    """

    backend: backends.Backend
    priority: int

    def may_send(self) -> bool:
        """Return whether the backend server still accepts new work."""

    def first_token(self) -> None:
        """Record that the first token arrived."""

    def progress(self, tokens: int) -> None:
        """Record that ``tokens`` more tokens arrived."""

    def close(self, end: AttemptEnd) -> None:
        """Release the slot and report how the attempt ended."""


class Dispatcher(typing.Protocol):
    """Schedules the requests of one entry host."""

    async def acquire(
        self,
        ticket: requests.Ticket,
        exclude: collections.abc.Set[ids.EngineId] = frozenset(),
    ) -> Grant | requests.Refused:
        """Queue a request until it may run on a backend server.

        Parameters
        ----------
        ticket : Ticket
            The request.
        exclude : set of EngineId
            Backend servers that already failed this request.

        Returns
        -------
        Grant or Refused
            A refusal is always ``not_run``. Cancelling the call removes the
            request from the queue.
        """

    def retry(
        self,
        ticket: requests.Ticket,
        end: AttemptEnd,
        attempts: int,
        may_have_run: bool,
        relayed_tokens: int,
    ) -> RetryNow | GiveUp:
        """Decide whether to retry a failed attempt.

        Parameters
        ----------
        ticket : Ticket
            The request.
        end : AttemptEnd
            How the last attempt ended.
        attempts : int
            Attempts made so far.
        may_have_run : bool
            Whether any byte of the request may have reached the backend.
        relayed_tokens : int
            Tokens already sent to the caller; a retry resumes after them.
        """

    def hedge_after(self, ticket: requests.Ticket) -> float | None:
        """Return the hedging delay in seconds, or None for no hedge."""

    def queue_states(self) -> tuple[queues.QueueState, ...]:
        """Return the state of each non-empty queue, by service and tier."""

    def use_catalog(self, current: catalog.Catalog) -> None:
        """Apply a new configuration."""

    def use_backends(
        self, current: collections.abc.Sequence[backends.Backend]
    ) -> None:
        """Replace the list of backend servers, including leaving ones."""

    def use_hosts(
        self, own_host: ids.HostId, live: collections.abc.Sequence[ids.HostId]
    ) -> None:
        """Replace the list of live entry hosts, including this one."""

    def report_load(self, report: backends.LoadReport) -> None:
        """Process a load report of an engine; reports may be delayed."""

    def update_cached_prefixes(
        self,
        engine_id: ids.EngineId,
        added: collections.abc.Sequence[int],
        removed: collections.abc.Sequence[int],
    ) -> None:
        """Apply KV cache events of an engine; they may be late or missing."""
