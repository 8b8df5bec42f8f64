"""Restarts background tasks that end by an unexpected error."""

import collections.abc
import logging

import trio

RESTART_DELAY_S = 0.2
"""Time before a task runs again."""

logger = logging.getLogger(__name__)

Run = collections.abc.Callable[[], collections.abc.Awaitable[None]]


async def restarting(run: Run) -> None:
    """Run a task; start it again if it ends by an unexpected error.

    An error in one task would otherwise end all tasks of the process, and
    with them the requests of callers that have nothing to do with it.

    Parameters
    ----------
    run : callable
        The task. It is done when it returns.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            logger.exception(
                'task failed with an unexpected error; starting it again',
                extra={'task': getattr(run, '__qualname__', repr(run))},
            )
        await trio.sleep(RESTART_DELAY_S)


__all__ = ['RESTART_DELAY_S', 'restarting']
