"""Hedging: a second attempt races a slow first one."""

import collections.abc
import dataclasses

import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.entry import attempts
from corianderloft._internal.models import requests
from corianderloft._internal.network import outbound

StartAttempt = collections.abc.Callable[
    [], collections.abc.Awaitable[attempts.Attempt | requests.Refused]
]


@dataclasses.dataclass(frozen=True)
class Winner:
    """The attempt that started to respond first."""

    attempt: attempts.Attempt
    started: attempts.ResponseStarted


@dataclasses.dataclass(frozen=True)
class AllFailed:
    """No attempt started to respond.

    Attributes
    ----------
    attempts : tuple of Attempt
        Failed attempts; already closed.
    last_failure : Failure or Refused
        How the last of them failed.
    """

    attempts: tuple[attempts.Attempt, ...]
    last_failure: outbound.Failure | requests.Refused


class Race:
    """Runs one attempt, and a hedge if the first is slow.

    The attempt that loses is cancelled.

    Parameters
    ----------
    resume_after : int
        Tokens that the caller already has.
    """

    def __init__(self, resume_after: int) -> None:
        self._resume_after = resume_after
        self._winner: Winner | None = None
        self._failed: list[attempts.Attempt] = []
        self._last_failure: outbound.Failure | requests.Refused | None = None
        self._pending = 0

    async def run(
        self,
        first: attempts.Attempt,
        delay: float | None,
        start_hedge: StartAttempt,
    ) -> Winner | AllFailed:
        """Return the attempt that starts to respond first.

        Parameters
        ----------
        first : Attempt
            First attempt.
        delay : float or None
            Delay before the hedge, in seconds; None disables it.
        start_hedge : callable
            Starts the hedge on another engine.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._pending = 1
                nursery.start_soon(
                    self._run_attempt, first, nursery.cancel_scope
                )
                if delay is not None:
                    nursery.start_soon(
                        self._hedge, delay, start_hedge, nursery.cancel_scope
                    )
        except BaseException:
            await self._close_winner()
            raise
        if self._winner is not None:
            return self._winner
        assert self._last_failure is not None
        return AllFailed(tuple(self._failed), self._last_failure)

    async def _hedge(
        self, delay: float, start_hedge: StartAttempt, scope: trio.CancelScope
    ) -> None:
        await trio.sleep(delay)
        second = await start_hedge()
        if isinstance(second, requests.Refused):
            return
        self._pending += 1
        await self._run_attempt(second, scope)

    async def _run_attempt(
        self, attempt: attempts.Attempt, scope: trio.CancelScope
    ) -> None:
        end = interface.AttemptEnd.CANCELLED
        try:
            result = await attempt.start(self._resume_after)
            if isinstance(result, attempts.ResponseStarted):
                if self._winner is None:
                    self._winner = Winner(attempt, result)
                    scope.cancel()
                return
            end = _attempt_end(result)
            self._failed.append(attempt)
            self._last_failure = result
            self._pending -= 1
            if self._pending == 0:
                scope.cancel()
        finally:
            if self._winner is None or self._winner.attempt is not attempt:
                await attempt.close(end)

    async def _close_winner(self) -> None:
        if self._winner is not None:
            await self._winner.attempt.close(interface.AttemptEnd.CANCELLED)


def _attempt_end(
    result: outbound.Failure | requests.Refused,
) -> interface.AttemptEnd:
    if isinstance(result, outbound.Failure):
        return result.end
    # The engine rejected the request as invalid, which is no fault of the
    # engine, so the attempt must not count against its health.
    return interface.AttemptEnd.COMPLETE
