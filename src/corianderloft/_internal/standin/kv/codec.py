"""Decodes and encodes the JSON bodies of etcd v3's gRPC gateway."""

import base64
import binascii
import collections.abc
import typing

from corianderloft._internal.standin.kv import store

Json = dict[str, typing.Any]

MAX_VALUE_BYTES = 1 << 20
MAX_OPERATIONS = 128


class InvalidRequestError(Exception):
    """The body of a call is malformed or exceeds a limit."""


def encode(raw: bytes) -> str:
    """Return ``raw`` as base64 text."""
    return base64.b64encode(raw).decode()


def decode(body: Json, name: str) -> bytes:
    """Return the bytes of a base64 field; empty if it is absent.

    Raises
    ------
    InvalidRequestError
        The field is not valid base64.
    """
    try:
        return base64.b64decode(body.get(name, ''), validate=True)
    except (binascii.Error, TypeError, ValueError) as exc:
        raise InvalidRequestError(f'{name} is not base64: {exc}') from exc


def decode_integer(body: Json, name: str) -> int:
    """Return an integer field, which may be a string; 0 if it is absent.

    Raises
    ------
    InvalidRequestError
        The field is not an integer.
    """
    try:
        return int(body.get(name, 0))
    except (TypeError, ValueError) as exc:
        raise InvalidRequestError(f'{name} is not an integer') from exc


def decode_put(body: Json) -> store.Put:
    """Decode a put request."""
    value = decode(body, 'value')
    if len(value) > MAX_VALUE_BYTES:
        raise InvalidRequestError(
            f'a value of {len(value)} bytes is over {MAX_VALUE_BYTES}'
        )
    return store.Put(decode(body, 'key'), value, decode_integer(body, 'lease'))


def decode_delete(body: Json) -> store.Delete:
    """Decode a delete range request."""
    return store.Delete(decode(body, 'key'), decode(body, 'range_end'))


def decode_operations(
    requests: collections.abc.Sequence[Json],
) -> list[store.Operation]:
    """Decode the operations of a transaction, which must be writes."""
    if len(requests) > MAX_OPERATIONS:
        raise InvalidRequestError(
            f'{len(requests)} operations; {MAX_OPERATIONS} allowed'
        )
    return [_decode_operation(request) for request in requests]


def _decode_operation(request: Json) -> store.Operation:
    if 'request_put' in request:
        return decode_put(request['request_put'])
    if 'request_delete_range' in request:
        return decode_delete(request['request_delete_range'])
    raise InvalidRequestError(f'unsupported operation {sorted(request)}')


def encode_key_value(key: bytes, record: store.Record) -> Json:
    """Encode one key with its value."""
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


def encode_event(change: store.Change) -> Json:
    """Encode one event of a watch."""
    if change.after is None:
        removed = {
            'key': encode(change.key),
            'mod_revision': str(change.revision),
        }
        return {'type': 'DELETE', 'kv': removed}
    return {'kv': encode_key_value(change.key, change.after)}


def header(revision: int) -> Json:
    """Return the header of a response."""
    return {'header': {'revision': str(revision)}}


def range_response(
    revision: int,
    items: collections.abc.Sequence[tuple[bytes, store.Record]],
    limit: int = 0,
) -> Json:
    """Return the response to a range request; ``limit`` 0 means no limit."""
    shown = items[:limit] if limit else items
    return header(revision) | {
        'kvs': [encode_key_value(key, record) for key, record in shown],
        'count': str(len(items)),
        'more': len(shown) < len(items),
    }
