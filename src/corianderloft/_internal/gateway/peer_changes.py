"""Asks another host for the changes that it heard from the store."""

import collections.abc
import math

from corianderloft._internal.gateway import change_log
from corianderloft._internal.gateway import change_messages
from corianderloft._internal.kv import connections
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.models import members
from corianderloft._internal.utils import clock

ASK_WAIT = 0.7
"""Time for which the other host holds an answer back, in seconds; with
`ANSWER_TIME` its loss is noticed in 1.2 s, which leaves time to read the
store within the two seconds in which a change has to be in force."""

ANSWER_TIME = 0.5
"""Time after its wait in which a host has to answer, in seconds: twice what
the kernel takes to send a lost packet again."""

CONNECT_TIME = 0.3
"""Bound on opening a connection, in seconds: the other host is in the same
failure domain, less than a millisecond away."""

IDLE_EXPIRY = 10.0
"""Longest idle time of a connection, in seconds; questions follow each other
at once."""

_OK = 200


class Gap(kv.WatchEnded):
    """The other host hears from the store, but keeps too few changes."""


async def watch(
    host: members.Member, after: ids.Revision
) -> collections.abc.AsyncGenerator[kv.WatchItem]:
    """Yield what another host hears from the store.

    Yields the same items as a watch of the store, and ends after one
    `kv.WatchEnded`.

    Parameters
    ----------
    host : Member
        A host that hears from the store itself.
    after : Revision
        Changes up to this one are known.
    """
    calls = connections.Connections(
        f'http://{host.address}:{host.peer_port}',
        CONNECT_TIME,
        ANSWER_TIME,
        1,
        IDLE_EXPIRY,
    )
    try:
        while True:
            changes = await _ask(calls, after)
            if isinstance(changes, kv.WatchEnded):
                yield changes
                return
            for event in changes.events:
                yield event
            after = max(after, changes.revision)
            as_of = min(clock.now(), changes.as_of)
            yield kv.WatchProgress(after, as_of)
    finally:
        await calls.aclose()


async def _ask(
    calls: connections.Connections, after: ids.Revision
) -> change_log.Changes | kv.WatchEnded:
    """Return the next changes, or why there are none."""
    asked_at = clock.now()
    path = (
        f'{change_messages.CHANGES_PATH}?after={after}'
        f'&wait_ms={int(ASK_WAIT * 1000)}'
    )
    result = await calls.call('GET', path, b'', ASK_WAIT)
    if not isinstance(result, connections.Reply):
        return kv.WatchEnded(result.detail, after)
    if result.status == change_messages.GAP_STATUS:
        return Gap('the host does not keep all changes', after)
    if result.status != _OK:
        return kv.WatchEnded(f'status {result.status}', after)
    changes = change_messages.decode(result.body, asked_at)
    if changes is None or not math.isfinite(changes.as_of):
        return kv.WatchEnded('malformed answer', after)
    return changes
