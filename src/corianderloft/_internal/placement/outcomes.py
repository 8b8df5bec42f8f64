"""Effect of the end of an attempt on what is known of its backend server."""

from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface


def apply(
    engine: engines.Engine, outcome: interface.AttemptOutcome, now: float
) -> None:
    """Update the health of an engine from the end of an attempt.

    Parameters
    ----------
    engine : Engine
        The backend server.
    outcome : AttemptOutcome
        How the attempt ended.
    now : float
        Current time on trio's clock.
    """
    engine.statements.record_end()
    match outcome:
        case (
            interface.AttemptOutcome.COMPLETE
            | interface.AttemptOutcome.NOT_RUN
            | interface.AttemptOutcome.NOT_CONTINUED
        ):
            engine.health.record_answer(False)
        case interface.AttemptOutcome.ERROR_ANSWER:
            engine.health.record_answer(True)
        case (
            interface.AttemptOutcome.NOT_CONNECTED
            | interface.AttemptOutcome.CRASHED
        ):
            engine.health.record_unreachable(now)
        case interface.AttemptOutcome.SILENT:
            engine.health.record_timeout(now)
        case interface.AttemptOutcome.BROKEN:
            engine.health.record_answer(True)
        case _:
            engine.health.record_inconclusive()
