"""Keeps requests that crash backend servers from reaching the next one."""

import dataclasses

import trio

from corianderloft._internal.gateway import refusals
from corianderloft._internal.gateway import request_log
from corianderloft._internal.gateway import sending
from corianderloft._internal.models import crashes as crash_models
from corianderloft._internal.models import states
from corianderloft._internal.placement import crash_evidence
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface


class CrashGuard:
    """Applies the evidence on crashes to one request, and adds to it.

    Parameters
    ----------
    crashes : CrashEvidence
        Evidence as known to this host.
    job : Job
        The request.
    """

    def __init__(
        self, crashes: crash_evidence.CrashEvidence, job: interface.Job
    ) -> None:
        self._crashes = crashes
        self._job = job
        self._suspects = crash_models.suspects_of(
            job.prompt, job.request_suspect
        )

    def is_quarantined(self) -> bool:
        """Return whether the request must not be sent now."""
        return self._quarantine() is not None

    async def leave_quarantine(self) -> refusals.Refusal | None:
        """Hold the request until a quarantine has settled or is lifted."""
        while (quarantine := self._quarantine()) is not None:
            now = trio.current_time()
            if now >= quarantine.settled_at:
                remaining_s = quarantine.until - now
                request_log.quarantined(
                    self._job, quarantine.suspect_id, remaining_s
                )
                return refusals.Refusal(
                    refusals.Reason.CRASHES_BACKENDS, remaining_s
                )
            await trio.sleep_until(quarantine.settled_at)
        return None

    def stops_retries(self) -> bool:
        """Return whether the request may crash the next server as well."""
        return self._crashes.stops_retries(self._suspects)

    async def check(
        self,
        attempt: sending.SendAttempt,
        engine: engines.Engine,
        failure: sending.SendFailure,
    ) -> sending.SendFailure:
        """Find out whether a server that broke off a response has crashed."""
        if (
            not failure.disconnected
            or engine.instance.state is not states.BackendState.LIVE
            or not await attempt.server_is_gone()
        ):
            return failure
        self._crashes.record_crash(
            self._suspects,
            engine.key,
            trio.current_time(),
            responded=attempt.progress is sending.Progress.CONTENT,
        )
        return dataclasses.replace(
            failure, outcome=interface.AttemptOutcome.CRASHED
        )

    def record_complete(self, received: sending.ReceivedHead) -> None:
        """Record a complete response."""
        if received.status < 300:
            self._crashes.record_complete(self._suspects, trio.current_time())

    def _quarantine(self) -> crash_evidence.Quarantine | None:
        return self._crashes.quarantine(self._suspects, trio.current_time())
