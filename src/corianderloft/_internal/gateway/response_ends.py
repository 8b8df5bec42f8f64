"""What the head and the end of a server's response show."""

from corianderloft._internal.gateway import life_watch
from corianderloft._internal.gateway import sending
from corianderloft._internal.placement import interface
from corianderloft._internal.relaying import assembly


def no_continuation(
    rejected: assembly.Rejected, status: int
) -> sending.SendFailure:
    """Return the failure of a response that cannot follow a stream.

    A server that does not know the stream is no less sound for that.
    """
    outcome = interface.AttemptOutcome.NOT_CONTINUED
    if status >= 500:
        outcome = interface.AttemptOutcome.ERROR_ANSWER
    return sending.SendFailure(
        outcome, True, f'status {status}: {rejected.cause}'
    )


def unsigned(response: str) -> sending.SendFailure:
    """Return the failure of a response without the server's signature."""
    return sending.SendFailure(
        interface.AttemptOutcome.BROKEN, True, f'{response} without signature'
    )


def ended_with_server() -> sending.SendFailure:
    """Return the failure of a response whose end shows nothing."""
    return sending.SendFailure(
        interface.AttemptOutcome.BROKEN,
        True,
        'the server ended or reset the connection with its response',
        disconnected=True,
    )


def run_head(received: sending.ReceivedHead) -> assembly.RunHead:
    """Return what decides whether a response may follow another one."""
    types = [
        value.partition(b';')[0].strip().lower().decode('latin-1')
        for name, value in received.head.forwarded_headers
        if name.lower() == b'content-type'
    ]
    return assembly.RunHead(
        received.status, received.head.signed, types[0] if types else ''
    )


def rejected_run(
    rejected: assembly.Rejected, disconnected: bool = False
) -> sending.SendFailure:
    """Return the failure of a run that may not be passed on.

    Parameters
    ----------
    rejected : Rejected
        The cause.
    disconnected : bool
        Whether the server ended the connection.
    """
    return sending.SendFailure(
        interface.AttemptOutcome.BROKEN, True, rejected.cause, disconnected
    )


async def run_end(
    attempt: sending.SendAttempt, watch: life_watch.LifeWatch | None
) -> assembly.RunEnd:
    """Return what shows that a response which has ended is complete.

    Parameters
    ----------
    attempt : SendAttempt
        The attempt that it is a response to.
    watch : LifeWatch or None
        Watch of the server; None if the response has a length.
    """
    if watch is None:
        return assembly.RunEnd.FRAMING
    if await watch.server_has_ended() or attempt.was_reset():
        return assembly.RunEnd.WITH_SERVER
    return assembly.RunEnd.CONNECTION


def no_memory() -> sending.SendFailure:
    """Return the failure of a response that this host cannot hold."""
    return sending.SendFailure(
        interface.AttemptOutcome.BROKEN, True, 'no memory for its response'
    )


def too_long(length: int) -> sending.SendFailure:
    """Return the failure of a response that announces too many bytes."""
    return sending.SendFailure(
        interface.AttemptOutcome.BROKEN,
        True,
        f'its body of {length} bytes exceeds {sending.MAX_RESPONSE_BYTES}',
    )
