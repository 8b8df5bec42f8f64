"""Datagrams in which hosts report what crashes backend servers.

They travel beside the loads: from a host to its group, from the delegate of a
group to those of other groups, and from each delegate to its own group.
"""

import collections.abc
import enum
import typing

import orjson
import trio

from corianderloft._internal.gateway import load_messages
from corianderloft._internal.models import crashes
from corianderloft._internal.models import ids
from corianderloft._internal.placement import crash_evidence
from corianderloft._internal.utils import integers

MAX_PARTS_PER_DATAGRAM = 32
"""Parts in one datagram; the rest goes into the next ones."""

_SCOPES_OF_OWN = (load_messages.Scope.HOST, load_messages.Scope.GROUP)
"""Scopes in which a host sends what it found itself."""

_NEXT_SCOPE = {
    load_messages.Scope.HOST: load_messages.Scope.GROUP,
    load_messages.Scope.GROUP: load_messages.Scope.REST,
}
"""Scope in which a delegate passes a report on, by the scope it came in."""


class Received(enum.Enum):
    """What a datagram changed."""

    NEWS = 'news'
    NOTHING_NEW = 'nothing_new'
    MALFORMED = 'malformed'


def is_crash_datagram(data: bytes) -> bool:
    """Tell datagrams with crashes from those with loads."""
    return data.startswith(b'{')


class CrashReports:
    """Sends and receives the evidence on prompt parts and requests.

    Parameters
    ----------
    evidence : CrashEvidence
        Evidence as known to this host.
    on_change : callable
        Called when there is something to send.
    """

    def __init__(
        self,
        evidence: crash_evidence.CrashEvidence,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._evidence = evidence
        self._on_change = on_change
        self._pending: dict[load_messages.Scope, dict[ids.SuspectId, int]] = {
            scope: {} for scope in load_messages.Scope
        }
        evidence.set_change_listener(self._note_own)

    def next_datagram(
        self, scope: load_messages.Scope, full: bool
    ) -> bytes | None:
        """Return the next datagram, or None if there is nothing to send.

        Parameters
        ----------
        scope : Scope
            Whom it goes to.
        full : bool
            Whether to repeat what changed lately and the suspects that
            are refused, for hosts that were not known when they changed.
        """
        pending = self._pending[scope]
        suspect_ids = list(pending)[:MAX_PARTS_PER_DATAGRAM]
        for suspect_id in suspect_ids:
            pending[suspect_id] -= 1
            if not pending[suspect_id]:
                del pending[suspect_id]
        if pending:
            self._on_change()
        if full:
            repeated = self._evidence.suspects_to_repeat(trio.current_time())
            suspect_ids += repeated[-MAX_PARTS_PER_DATAGRAM:]
        reports = map(self._evidence.report, dict.fromkeys(suspect_ids))
        rows = [_row(report) for report in reports if report is not None]
        if not rows:
            return None
        return orjson.dumps({'scope': scope.value, 'parts': rows})

    def receive(self, data: bytes) -> Received:
        """Use a datagram and pass its news on."""
        try:
            message = orjson.loads(data)
            scope = load_messages.Scope(message['scope'])
            reports = [_decode_row(row) for row in message['parts']]
        except (ValueError, TypeError, KeyError):
            return Received.MALFORMED
        now = trio.current_time()
        news = [
            report.suspect_id
            for report in reports
            if self._evidence.merge(report, now)
        ]
        if scope in _NEXT_SCOPE:
            for suspect_id in news:
                self._note(_NEXT_SCOPE[scope], suspect_id)
        return Received.NEWS if news else Received.NOTHING_NEW

    def _note_own(self, suspect_id: ids.SuspectId) -> None:
        for scope in _SCOPES_OF_OWN:
            self._note(scope, suspect_id)
        self._on_change()

    def _note(
        self, scope: load_messages.Scope, suspect_id: ids.SuspectId
    ) -> None:
        self._pending[scope][suspect_id] = load_messages.SENDS_PER_CHANGE


def encode_report(report: crashes.CrashReport) -> bytes:
    """Encode a report as a value in the store."""
    return orjson.dumps(_row(report))


def decode_report(value: bytes) -> crashes.CrashReport | None:
    """Return the report in a value; None if it is malformed."""
    try:
        return _decode_row(orjson.loads(value))
    except (ValueError, TypeError):
        return None


def _row(report: crashes.CrashReport) -> list[object]:
    return [report.suspect_id, sorted(report.crashed), sorted(report.cleared)]


def _decode_row(row: typing.Any) -> crashes.CrashReport:
    """Return the report of a row.

    Raises
    ------
    ValueError, TypeError
        If the row is malformed.
    """
    suspect_id, crashed, cleared = row
    return crashes.CrashReport(
        ids.SuspectId(str(suspect_id)), _runs(crashed), _runs(cleared)
    )


def _runs(pairs: typing.Any) -> frozenset[crashes.ServerRun]:
    return frozenset(
        (ids.EngineId(str(engine_id)), integers.bounded(born, 0))
        for engine_id, born in pairs
    )
