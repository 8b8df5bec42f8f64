"""JSON bodies of etcd v3's gateway as the service reads and writes them."""

import base64
import binascii
import collections.abc
import typing

from corianderloft._internal.standin.kv import store

Json = dict[str, typing.Any]

VALUE_LIMIT = 1 << 20  # bytes
OPERATION_LIMIT = 128


class BadCall(Exception):
    """The body of a call is malformed or over a limit."""


def encode(raw: bytes) -> str:
    """Return ``raw`` as base64 text."""
    return base64.b64encode(raw).decode()


def decode(body: Json, name: str) -> bytes:
    """Return the bytes of a base64 field, empty when it is absent."""
    try:
        return base64.b64decode(body.get(name, ''), validate=True)
    except (binascii.Error, TypeError, ValueError) as exc:
        raise BadCall(f'{name} is not base64: {exc}') from exc


def number(body: Json, name: str) -> int:
    """Return an integer field, which may be text; 0 when it is absent."""
    try:
        return int(body.get(name, 0))
    except (TypeError, ValueError) as exc:
        raise BadCall(f'{name} is not an integer') from exc


def put(body: Json) -> store.Put:
    """Return the write that a put describes."""
    value = decode(body, 'value')
    if len(value) > VALUE_LIMIT:
        raise BadCall(f'a value of {len(value)} bytes is over {VALUE_LIMIT}')
    return store.Put(decode(body, 'key'), value, number(body, 'lease'))


def delete(body: Json) -> store.Delete:
    """Return the removal that a delete range describes."""
    return store.Delete(decode(body, 'key'), decode(body, 'range_end'))


def operations(
    requests: collections.abc.Sequence[Json],
) -> list[store.Operation]:
    """Return the writes among the operations of a transaction."""
    if len(requests) > OPERATION_LIMIT:
        raise BadCall(f'{len(requests)} operations; {OPERATION_LIMIT} allowed')
    return [_operation(request) for request in requests]


def _operation(request: Json) -> store.Operation:
    if 'request_put' in request:
        return put(request['request_put'])
    if 'request_delete_range' in request:
        return delete(request['request_delete_range'])
    raise BadCall(f'unsupported operation {sorted(request)}')


def key_value(key: bytes, record: store.Record) -> Json:
    """Return one key with its value."""
    fields = {
        'key': encode(key),
        'create_revision': str(record.create_revision),
        'mod_revision': str(record.mod_revision),
        'version': str(record.version),
        'value': encode(record.value),
    }
    if record.lease_id:
        fields['lease'] = str(record.lease_id)
    return fields


def event(change: store.Change) -> Json:
    """Return one event of a watch."""
    if change.after is None:
        removed = {
            'key': encode(change.key),
            'mod_revision': str(change.revision),
        }
        return {'type': 'DELETE', 'kv': removed}
    return {'kv': key_value(change.key, change.after)}


def header(revision: int) -> Json:
    """Return the header of a reply."""
    return {'header': {'revision': str(revision)}}


def found(
    revision: int,
    items: collections.abc.Sequence[tuple[bytes, store.Record]],
    limit: int = 0,
) -> Json:
    """Return the reply to a range; a ``limit`` of 0 is none."""
    shown = items[:limit] if limit else items
    return header(revision) | {
        'kvs': [key_value(key, record) for key, record in shown],
        'count': str(len(items)),
        'more': len(shown) < len(items),
    }
