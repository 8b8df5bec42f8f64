"""What a host tells the hosts that follow it, as JSON."""

import base64
import collections.abc
import typing

import orjson

from corianderloft._internal.gateway import change_log
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids

CHANGES_PATH = '/changes'
"""Path at which a host answers the hosts that follow it."""

GAP_STATUS = 410
"""HTTP status that says that not all changes asked for are kept."""

LOST_STATUS = 503
"""HTTP status that says that this host does not hear from the store."""


def encode(changes: change_log.Changes, received_at: float) -> bytes:
    """Return changes as the body of an answer.

    Hosts have no common clock, so the time goes as an offset.

    Parameters
    ----------
    changes : Changes
        What to tell.
    received_at : float
        When the question came, on `clock.now`, in seconds.
    """
    return orjson.dumps(
        [
            changes.revision,
            changes.as_of - received_at,
            [_row(event) for event in changes.events],
        ]
    )


def decode(data: bytes, asked_at: float) -> change_log.Changes | None:
    """Return the changes in an answer, or None for a malformed one.

    The question left before it was received, so the time that comes out is
    never later than the one that the other host meant.

    Parameters
    ----------
    data : bytes
        Body of the answer.
    asked_at : float
        When the question was sent, on `clock.now`, in seconds.
    """
    try:
        revision, offset, rows = orjson.loads(data)
        return change_log.Changes(
            ids.Revision(int(revision)),
            asked_at + float(offset),
            tuple(_event(row) for row in rows),
        )
    except (ValueError, TypeError, OverflowError):
        return None


def _row(event: kv.WatchEvent) -> list[typing.Any]:
    item = event.item
    if item is None:
        return [event.key, event.revision, None, None]
    value = base64.b64encode(item.value).decode('ascii')
    return [event.key, event.revision, value, item.lease_id]


def _event(row: collections.abc.Sequence[typing.Any]) -> kv.WatchEvent:
    key, revision, value, lease = row
    if not isinstance(key, str):
        raise ValueError(f'{key!r} is no key')
    at = ids.Revision(int(revision))
    if value is None:
        return kv.WatchEvent(key, None, at)
    raw = base64.b64decode(value, validate=True)
    lease_id = None if lease is None else ids.LeaseId(int(lease))
    # The beliefs of a host do not depend on the count of writes.
    return kv.WatchEvent(key, kv.KeyValue(key, raw, at, 1, lease_id), at)
