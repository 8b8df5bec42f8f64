"""Follows the store changes that another host received, by long polling."""

import collections.abc
import math

from corianderloft._internal.gateway import change_log
from corianderloft._internal.gateway import change_messages
from corianderloft._internal.kv import connections
from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.models import members
from corianderloft._internal.utils import clock

LONG_POLL_S = 0.7
"""Time for which the other host may hold a poll open. With
`RESPONSE_TIMEOUT_S` its failure is detected within 1.2 s, which leaves time
to read the store within the two seconds in which a change must take effect."""

RESPONSE_TIMEOUT_S = 0.5
"""Response timeout beyond the long poll, and between two parts of a response:
twice the kernel's retransmission timeout for a lost packet."""

CONNECT_TIMEOUT_S = 0.3
"""Timeout for opening a connection; the other host is in the same failure
domain, less than a millisecond away."""

IDLE_TIMEOUT_S = 10.0
"""Idle timeout of a connection; polls follow each other without delay."""

_OK = 200


class Gap(kv.WatchEnded):
    """The other host watches the store but no longer keeps all changes."""


async def watch(
    host: members.Member,
    after: ids.Revision,
    on_receive: connections.OnReceive | None = None,
) -> collections.abc.AsyncGenerator[kv.WatchItem]:
    """Yield the changes that another host receives from the store.

    Yields the same items as a watch of the store and ends after one
    `kv.WatchEnded`.

    Parameters
    ----------
    host : Member
        A host that watches the store itself.
    after : Revision
        Last known revision.
    on_receive : callable or None
        Called for each part of a response that arrives.
    """
    client = connections.Connections(
        f'http://{host.address}:{host.peer_port}',
        CONNECT_TIMEOUT_S,
        RESPONSE_TIMEOUT_S,
        1,
        IDLE_TIMEOUT_S,
    )
    try:
        while True:
            changes = await _poll(client, after, on_receive)
            if isinstance(changes, kv.WatchEnded):
                yield changes
                return
            for event in changes.events:
                yield event
            after = max(after, changes.revision)
            yield _progress(after, changes)
    finally:
        await client.aclose()


def _progress(
    revision: ids.Revision, changes: change_log.Changes
) -> kv.WatchProgress:
    """Return the progress; the times of another host are not in the future."""
    now = clock.now()
    heard_at = changes.heard_at
    return kv.WatchProgress(
        revision,
        min(now, changes.as_of),
        None if heard_at is None else min(now, heard_at),
    )


async def _poll(
    client: connections.Connections,
    after: ids.Revision,
    on_receive: connections.OnReceive | None,
) -> change_log.Changes | kv.WatchEnded:
    """Return the next changes, or the reason why there are none."""
    sent_at = clock.now()
    path = (
        f'{change_messages.CHANGES_PATH}?after={after}'
        f'&wait_ms={int(LONG_POLL_S * 1000)}'
        f'&{change_messages.COMPRESSION_PARAMETER}=1'
        f'&{change_messages.ERA_PARAMETER}=1'
        f'&{change_messages.HEARD_PARAMETER}=1'
        f'&{change_messages.RAW_PARAMETER}=1'
    )
    result = await client.call('GET', path, b'', LONG_POLL_S, on_receive)
    if not isinstance(result, connections.Reply):
        return kv.WatchEnded(result.detail, after)
    if result.status == change_messages.GAP_STATUS:
        return Gap('the host does not keep all changes', after)
    if result.status != _OK:
        return kv.WatchEnded(f'status {result.status}', after)
    changes = change_messages.decode(result.body, sent_at)
    if changes is None or not _is_finite(changes):
        return kv.WatchEnded('malformed answer', after)
    if eras.era_of(changes.revision) < eras.era_of(after):
        # A host of an earlier release, or one that has not met the new era.
        return kv.WatchEnded('changes of an earlier era', after)
    return changes


def _is_finite(changes: change_log.Changes) -> bool:
    return math.isfinite(changes.as_of) and (
        changes.heard_at is None or math.isfinite(changes.heard_at)
    )
