"""A second attempt beside a slow first one; the loser is cancelled."""

import collections.abc
import dataclasses

import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.entry import attempts
from corianderloft._internal.models import requests
from corianderloft._internal.network import outbound

Start = collections.abc.Callable[
    [], collections.abc.Awaitable[attempts.Attempt | requests.Refused]
]


@dataclasses.dataclass(frozen=True)
class Won:
    """The attempt whose answer began first."""

    attempt: attempts.Attempt
    opened: attempts.Opened


@dataclasses.dataclass(frozen=True)
class Lost:
    """No attempt's answer began.

    Attributes
    ----------
    attempts : tuple of Attempt
        Attempts that failed; closed already.
    cause : Failure or Refused
        What the last of them met.
    """

    attempts: tuple[attempts.Attempt, ...]
    cause: outbound.Failure | requests.Refused


class Race:
    """One attempt, and a second one when the first is slow.

    Parameters
    ----------
    have : int
        Tokens that the caller has.
    """

    def __init__(self, have: int) -> None:
        self._have = have
        self._won: Won | None = None
        self._failed: list[attempts.Attempt] = []
        self._cause: outbound.Failure | requests.Refused | None = None
        self._open = 0

    async def run(
        self, first: attempts.Attempt, delay: float | None, start: Start
    ) -> Won | Lost:
        """Return the attempt whose answer begins first.

        Parameters
        ----------
        first : Attempt
            First attempt.
        delay : float or None
            Wait in seconds before a second one; None for no second one.
        start : callable
            Starts the second attempt on another engine.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._open = 1
                nursery.start_soon(self._try, first, nursery.cancel_scope)
                if delay is not None:
                    nursery.start_soon(
                        self._hedge, delay, start, nursery.cancel_scope
                    )
        except BaseException:
            await self._close_winner()
            raise
        if self._won is not None:
            return self._won
        assert self._cause is not None
        return Lost(tuple(self._failed), self._cause)

    async def _hedge(
        self, delay: float, start: Start, scope: trio.CancelScope
    ) -> None:
        await trio.sleep(delay)
        second = await start()
        if isinstance(second, requests.Refused):
            return
        self._open += 1
        await self._try(second, scope)

    async def _try(
        self, attempt: attempts.Attempt, scope: trio.CancelScope
    ) -> None:
        end = interface.AttemptEnd.CANCELLED
        try:
            result = await attempt.open(self._have)
            if isinstance(result, attempts.Opened):
                if self._won is None:
                    self._won = Won(attempt, result)
                    scope.cancel()
                return
            end = _end_of(result)
            self._failed.append(attempt)
            self._cause = result
            self._open -= 1
            if self._open == 0:
                scope.cancel()
        finally:
            if self._won is None or self._won.attempt is not attempt:
                await attempt.close(end)

    async def _close_winner(self) -> None:
        if self._won is not None:
            await self._won.attempt.close(interface.AttemptEnd.CANCELLED)


def _end_of(
    result: outbound.Failure | requests.Refused,
) -> interface.AttemptEnd:
    if isinstance(result, outbound.Failure):
        return result.end
    # The engine judged the request itself and stays in good standing.
    return interface.AttemptEnd.COMPLETE
