"""Keeps requests that crash backend servers from reaching the next one."""

import itertools

import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.entry import records
from corianderloft._internal.models import backends
from corianderloft._internal.models import crashes
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import engine_connection
from corianderloft._internal.placement import crash_evidence

_crash_numbers = itertools.count(1)


class CrashGuard:
    """Applies the evidence of this host to one request, and adds to it.

    Parameters
    ----------
    evidence : CrashEvidence
        Evidence on requests of this host.
    request : SuspectId
        What identifies the request if it comes again.
    record : RequestRecord
        Record of the request's progress.
    connect_time : float
        Timeout for connecting to a backend server, in seconds.
    """

    def __init__(
        self,
        evidence: crash_evidence.CrashEvidence,
        request: ids.SuspectId,
        record: records.RequestRecord,
        connect_time: float,
    ) -> None:
        self._evidence = evidence
        self._suspects = crashes.Suspects((), request)
        self._record = record
        self._connect_time = connect_time

    async def refusal(self) -> requests.Refused | None:
        """Hold the request until a quarantine has settled or is lifted."""
        while True:
            now = trio.current_time()
            found = self._evidence.quarantine(self._suspects, now)
            if found is None:
                return None
            if now >= found.settled_at:
                return requests.Refused(
                    reasons.RefusalReason.CRASHES_BACKENDS,
                    self._record.run_state(),
                    'the request crashes backend servers',
                    found.until - now,
                )
            await trio.sleep_until(found.settled_at)

    def stops_retries(self) -> bool:
        """Return whether the request may crash the next server as well."""
        return self._evidence.stops_retries(self._suspects)

    async def check(
        self,
        backend: backends.Backend,
        end: interface.AttemptEnd,
        may_have_run: bool,
    ) -> None:
        """Record whether a backend server that was lost has crashed.

        A backend server may start again under its ID, so each crash has a
        number of its own.
        """
        if (
            end is not interface.AttemptEnd.CONNECTION_LOST
            or not may_have_run
            or backend.state is not states.BackendState.LIVE
        ):
            return
        conn = await engine_connection.connect(
            backend.address, backend.port, self._connect_time
        )
        if isinstance(conn, engine_connection.EngineConnection):
            conn.close()
            return
        run = backend.engine_id, next(_crash_numbers)
        self._evidence.record_crash(self._suspects, run, trio.current_time())

    def record_complete(self) -> None:
        """Record a complete response."""
        self._evidence.record_complete(self._suspects, trio.current_time())
