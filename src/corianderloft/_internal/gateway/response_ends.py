"""Responses that came, but are not whole or not the server's own."""

from corianderloft._internal.entry import sse
from corianderloft._internal.gateway import sending
from corianderloft._internal.models import states
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface


def unsigned(response: str) -> sending.SendFailure:
    """Return the failure of a response without the server's signature."""
    return sending.SendFailure(
        interface.AttemptOutcome.BROKEN, True, f'{response} without signature'
    )


async def ended_with_server(
    attempt: sending.SendAttempt,
    received: sending.ReceivedHead,
    engine: engines.Engine,
) -> sending.SendFailure | None:
    """Return a failure if the end of a response was that of its server.

    The operating system closes the connections of a process that ends, and a
    response without a length then looks complete. A server that leaves may
    end right after its last response.

    Parameters
    ----------
    attempt : SendAttempt
        The attempt.
    received : ReceivedHead
        Head of the response.
    engine : Engine
        The server.
    """
    if (
        not received.ends_with_connection
        or engine.instance.state is not states.BackendState.LIVE
        or not await attempt.server_has_ended()
    ):
        return None
    return sending.SendFailure(
        interface.AttemptOutcome.BROKEN,
        True,
        'the server ended together with its response',
        disconnected=True,
    )


def broken_off(
    received: sending.ReceivedHead,
    event_buffer: sse.EventBuffer,
    has_begun: bool,
) -> sending.SendFailure | None:
    """Return why a stream that has ended is incomplete, if it is.

    Where the end of the connection ends the stream, only its content shows
    that the server broke it off.

    Parameters
    ----------
    received : ReceivedHead
        Head of the response.
    event_buffer : EventBuffer
        What came after the last complete event.
    has_begun : bool
        Whether an event came.
    """
    if event_buffer.incomplete().strip():
        detail = 'the stream ended inside an event'
    elif received.ends_with_connection and not has_begun:
        detail = 'the connection ended before any event'
    else:
        return None
    return sending.SendFailure(
        interface.AttemptOutcome.BROKEN,
        True,
        detail,
        disconnected=received.ends_with_connection,
    )
