"""Codec for the JSON bodies of etcd v3's gateway.

Keys and values are base64 text; numbers are decimal text.
"""

import base64
import collections.abc
import dataclasses
import typing

import orjson

from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface
from corianderloft._internal.models import ids

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Answer:
    """Body of a reply, and the era of the service that it states."""

    body: Json
    era: ids.Era


FIRST_KEY = b'\0'


def to_text(raw: bytes) -> str:
    """Encode bytes as base64 text."""
    return base64.b64encode(raw).decode()


def from_text(text: str) -> bytes:
    """Decode base64 text."""
    return base64.b64decode(text)


def prefix_range(prefix: str) -> Json:
    """Return the ``key`` and ``range_end`` of all keys with a prefix."""
    start = prefix.encode()
    if not start:
        return {'key': to_text(FIRST_KEY), 'range_end': to_text(b'\0')}
    end = start[:-1] + bytes([start[-1] + 1])
    return {'key': to_text(start), 'range_end': to_text(end)}


def key_after(key: str) -> str:
    """Return the first possible key after ``key``, as base64 text."""
    return to_text(key.encode() + b'\0')


@dataclasses.dataclass(frozen=True)
class Page:
    """Part of a range; ``more`` is True if other keys follow."""

    found: interface.Found
    more: bool


def page(answer: Answer) -> Page:
    """Decode the page in the reply to a range request."""
    items = key_values(answer.body, answer.era)
    return Page(
        interface.Found(revision(answer), items),
        bool(answer.body.get('more')),
    )


def transaction(
    compares: collections.abc.Sequence[interface.Compare],
    operations: collections.abc.Sequence[interface.Put | interface.Delete],
    expected_counter: collections.abc.Callable[[ids.Revision], int],
) -> Json:
    """Return the body of a transaction that reads its keys on a conflict."""
    return {
        'compare': [
            _compare(item.key, expected_counter(item.mod_revision))
            for item in compares
        ],
        'success': [_operation(item) for item in operations],
        'failure': [
            {'request_range': {'key': to_text(item.key.encode())}}
            for item in compares
        ],
    }


def _compare(key: str, counter: int) -> Json:
    return {
        'key': to_text(key.encode()),
        'result': 'EQUAL',
        'target': 'MOD',
        'mod_revision': str(counter),
    }


def _operation(item: interface.Put | interface.Delete) -> Json:
    key = to_text(item.key.encode())
    if isinstance(item, interface.Delete):
        return {'request_delete_range': {'key': key}}
    put = {'key': key, 'value': to_text(item.value)}
    if item.lease_id is not None:
        put['lease'] = str(item.lease_id)
    return {'request_put': put}


def revision(answer: Answer) -> ids.Revision:
    """Return the store revision from the header of a reply."""
    return eras.qualify(answer.era, int(answer.body['header']['revision']))


def key_value(raw: Json, era: ids.Era) -> interface.KeyValue:
    """Decode a key and its value."""
    lease = int(raw.get('lease', 0))
    return interface.KeyValue(
        from_text(raw['key']).decode(),
        from_text(raw.get('value', '')),
        eras.qualify(era, int(raw['mod_revision'])),
        int(raw.get('version', 0)),
        ids.LeaseId(lease) if lease else None,
    )


def key_values(body: Json, era: ids.Era) -> tuple[interface.KeyValue, ...]:
    """Decode the keys in the reply to a range request."""
    return tuple(key_value(raw, era) for raw in body.get('kvs', ()))


def compared_keys(answer: Answer) -> tuple[interface.KeyValue, ...]:
    """Decode the compared keys of a transaction that had a conflict."""
    return tuple(
        item
        for response in answer.body.get('responses', ())
        for item in key_values(response.get('response_range', {}), answer.era)
    )


def watch_event(raw: Json, era: ids.Era) -> interface.WatchEvent:
    """Decode a watch event."""
    item = key_value(raw['kv'], era)
    if raw.get('type') == 'DELETE':
        return interface.WatchEvent(item.key, None, item.mod_revision)
    return interface.WatchEvent(item.key, item, item.mod_revision)


def decode(raw: bytes) -> Json | None:
    """Return the JSON object in ``raw``, or None if there is none."""
    try:
        body = orjson.loads(raw)
    except orjson.JSONDecodeError:
        return None
    return body if isinstance(body, dict) else None
