"""HTTP handler that serves store changes to the hosts that follow this one."""

import collections.abc
import urllib.parse

import trio

from corianderloft._internal.gateway import change_log
from corianderloft._internal.gateway import change_messages
from corianderloft._internal.models import ids
from corianderloft._internal.network import exchange
from corianderloft._internal.utils import clock

MAX_WAIT_S = 2.0
"""Maximum time to hold a long poll open; hosts that follow this one use
shorter polls."""

BAD_REQUEST_STATUS = 400
"""HTTP status for a malformed request."""


class ChangeServer:
    """Serves the changes that this host received from the store.

    Parameters
    ----------
    log : ChangeLog
        Log of the changes.
    """

    def __init__(self, log: change_log.ChangeLog) -> None:
        self._log = log

    async def serve(self, request: exchange.Exchange) -> None:
        """Respond once there are changes, or after progress without any."""
        received_at = clock.now()
        query = _parse_query(request.query)
        if query is None:
            await request.respond_raw(BAD_REQUEST_STATUS, (), b'')
            return
        after, wait_s, parameters = query
        if self._log.era and change_messages.ERA_PARAMETER not in parameters:
            # A host of an earlier release cannot order these revisions.
            await request.respond_raw(
                change_messages.NOT_WATCHING_STATUS, (), b''
            )
            return
        changes = self._log.since(after)
        if changes is not None and not changes.events:
            with trio.move_on_after(wait_s):
                await self._log.wait_progress()
            changes = self._log.since(after)
        if changes is not None:
            body = _encode(changes, received_at, parameters)
            await request.respond(200, body)
        elif self._log.is_usable(after):
            await request.respond_raw(change_messages.GAP_STATUS, (), b'')
        else:
            await request.respond_raw(
                change_messages.NOT_WATCHING_STATUS, (), b''
            )


def _encode(
    changes: change_log.Changes,
    received_at: float,
    parameters: collections.abc.Container[str],
) -> bytes:
    """Encode changes in the newest form that the other host reads."""
    if change_messages.RAW_PARAMETER in parameters:
        return change_messages.encode_raw(changes, received_at)
    return change_messages.encode(
        changes,
        received_at,
        change_messages.COMPRESSION_PARAMETER in parameters,
        change_messages.HEARD_PARAMETER in parameters,
    )


def _parse_query(
    query: bytes,
) -> tuple[ids.Revision, float, collections.abc.Container[str]] | None:
    """Return the fields of a query, or None if it is malformed.

    They are the revision, the wait in seconds and the names of all
    parameters.
    """
    fields = dict(urllib.parse.parse_qsl(query.decode('latin-1')))
    try:
        after = ids.Revision(int(fields['after']))
        wait_s = int(fields['wait_ms']) / 1000
    except (KeyError, ValueError, OverflowError):
        return None
    wait_s = min(MAX_WAIT_S, max(0.0, wait_s))
    return after, wait_s, fields.keys()
