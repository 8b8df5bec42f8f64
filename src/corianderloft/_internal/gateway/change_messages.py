"""Messages with store changes, sent to the hosts that follow this one."""

import base64
import collections.abc
import functools
import typing
import zlib

import orjson

from corianderloft._internal.gateway import change_log
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.utils import integers

CHANGES_PATH = '/changes'
"""URL path under which a host serves store changes to other hosts."""

GAP_STATUS = 410
"""HTTP status if some of the requested changes are no longer kept."""

COMPRESSION_PARAMETER = 'deflate'
"""Query parameter of a host that accepts compressed messages."""

ERA_PARAMETER = 'era'
"""Query parameter of a host whose revisions hold the era of the store."""

HEARD_PARAMETER = 'heard'
"""Query parameter of a host that reads when the store was last heard of."""

RAW_PARAMETER = 'raw'
"""Query parameter of a host that reads messages with raw values."""

MIN_COMPRESSED_BYTES = 1024
"""Shortest message that is compressed."""

RAW_MARK = b'raw'
"""First bytes of a message with raw values."""

_LEVEL = zlib.Z_BEST_SPEED

MAX_MESSAGE_BYTES = 64 * 2**20
"""Largest message after decompression; the store holds less."""

NOT_WATCHING_STATUS = 503
"""HTTP status if this host does not watch the store itself, or not in the era
that the other host knows."""


def encode(
    changes: change_log.Changes,
    received_at: float,
    compress: bool = False,
    with_heard: bool = False,
) -> bytes:
    """Encode changes as a response body.

    Declarations with many routes would take a small host seconds to send to
    all hosts that follow it, so long messages are compressed.

    The clocks of hosts are not synchronised, so the time is sent as an
    offset from the receipt of the request.

    Parameters
    ----------
    changes : Changes
        The changes to send.
    received_at : float
        When the request was received, on `clock.now`, in seconds.
    compress : bool
        Whether the other host accepts a compressed message.
    with_heard : bool
        Whether the other host reads when the store was last heard of.
    """
    fields = [
        changes.revision,
        changes.as_of - received_at,
        [_encode_event(event) for event in changes.events],
    ]
    if with_heard and changes.heard_at is not None:
        fields.append(changes.heard_at - received_at)
    data = orjson.dumps(fields)
    if compress and len(data) >= MIN_COMPRESSED_BYTES:
        return zlib.compress(data, _LEVEL)
    return data


def encode_raw(changes: change_log.Changes, received_at: float) -> bytes:
    """Encode changes as a response body with raw values.

    The first line has the revision and the times, as in `encode`. The rest is
    compressed, and the same for all hosts that lack the same changes.
    """
    head = [changes.revision, changes.as_of - received_at]
    if changes.heard_at is not None:
        head.append(changes.heard_at - received_at)
    return RAW_MARK + orjson.dumps(head) + b'\n' + _pack(changes.events)


@functools.lru_cache(maxsize=2)
def _pack(events: tuple[kv.WatchEvent, ...]) -> bytes:
    """Return one row for each event and then their values, compressed."""
    values = [event.item.value for event in events if event.item is not None]
    rows = orjson.dumps([_raw_row(event) for event in events])
    return zlib.compress(b'\n'.join((rows, b''.join(values))), _LEVEL)


def _raw_row(event: kv.WatchEvent) -> list[typing.Any]:
    item = event.item
    if item is None:
        return [event.key, event.revision, None, None]
    return [event.key, event.revision, len(item.value), item.lease_id]


def _decode_raw(data: bytes, sent_at: float) -> change_log.Changes:
    """Decode what `encode_raw` has encoded.

    Raises
    ------
    ValueError, TypeError, OverflowError, zlib.error
        If it is malformed.
    """
    line, _, packed = data.removeprefix(RAW_MARK).partition(b'\n')
    revision, offset, *rest = orjson.loads(line)
    row_data, _, values = _decompress(packed).partition(b'\n')
    events = []
    start = 0
    for key, mod_revision, size, lease in orjson.loads(row_data):
        value = None
        if size is not None:
            end = start + integers.bounded(size, 0, len(values) - start)
            value, start = values[start:end], end
        events.append(_event(key, mod_revision, value, lease))
    if start != len(values):
        raise ValueError('the message has more values than rows')
    return change_log.Changes(
        ids.Revision(int(revision)),
        sent_at + float(offset),
        tuple(events),
        sent_at + float(rest[0]) if rest else None,
    )


def decode(data: bytes, sent_at: float) -> change_log.Changes | None:
    """Decode a response body; return None if it is malformed.

    The request was sent before the other host received it, so the decoded
    time is never later than the time that the other host encoded.

    Parameters
    ----------
    data : bytes
        Response body.
    sent_at : float
        When the request was sent, on `clock.now`, in seconds.
    """
    try:
        if data.startswith(RAW_MARK):
            return _decode_raw(data, sent_at)
        revision, offset, rows, *rest = orjson.loads(_decompressed(data))
        return change_log.Changes(
            ids.Revision(int(revision)),
            sent_at + float(offset),
            tuple(_decode_event(row) for row in rows),
            sent_at + float(rest[0]) if rest else None,
        )
    except (ValueError, TypeError, OverflowError, zlib.error):
        return None


def _decompressed(data: bytes) -> bytes:
    """Return a message without compression; JSON begins with a bracket."""
    return data if data.startswith(b'[') else _decompress(data)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    message = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise ValueError('the message is truncated or too long')
    return message


def _encode_event(event: kv.WatchEvent) -> list[typing.Any]:
    item = event.item
    if item is None:
        return [event.key, event.revision, None, None]
    value = base64.b64encode(item.value).decode('ascii')
    return [event.key, event.revision, value, item.lease_id]


def _decode_event(row: collections.abc.Sequence[typing.Any]) -> kv.WatchEvent:
    key, revision, value, lease = row
    raw_value = None if value is None else _base64(value)
    return _event(key, revision, raw_value, lease)


def _base64(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _event(
    key: object, revision: typing.Any, value: bytes | None, lease: typing.Any
) -> kv.WatchEvent:
    if not isinstance(key, str):
        raise ValueError(f'key is not a string: {key!r}')
    mod_revision = ids.Revision(int(revision))
    if value is None:
        return kv.WatchEvent(key, None, mod_revision)
    lease_id = None if lease is None else ids.LeaseId(int(lease))
    # The version (count of writes) is not transmitted: the view of a host
    # does not use it, so 1 is a placeholder.
    return kv.WatchEvent(
        key,
        kv.KeyValue(key, value, mod_revision, 1, lease_id),
        mod_revision,
    )
