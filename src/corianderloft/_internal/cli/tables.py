"""Tables for people out of answers for machines."""

import collections.abc
import typing

from corianderloft._internal.cli import output


def tables_of(
    body: typing.Any, title: str = ''
) -> collections.abc.Iterator[output.Table]:
    """Yield a table of the plain fields of a mapping, then one a list.

    Parameters
    ----------
    body : object
        Decoded JSON.
    title : str
        Title of the first table.
    """
    if isinstance(body, list):
        yield output.Table(list(map(_row, body)), title)
        return
    if not isinstance(body, dict):
        yield output.Table([{'value': body}], title)
        return
    plain = {k: v for k, v in body.items() if not _nested(v)}
    if plain:
        rows = [{'field': k, 'value': v} for k, v in plain.items()]
        yield output.Table(rows, title)
    for key, value in body.items():
        if _nested(value):
            yield from _below(key, value)


def _below(
    key: str, value: typing.Any
) -> collections.abc.Iterator[output.Table]:
    by_name = (
        isinstance(value, dict)
        and value
        and all(isinstance(item, dict) for item in value.values())
    )
    if by_name:
        rows = [{'name': name} | item for name, item in value.items()]
        yield from tables_of(rows, key)
    else:
        yield from tables_of(value, key)


def _nested(value: typing.Any) -> bool:
    return isinstance(value, (dict, list))


def _row(item: typing.Any) -> dict[str, typing.Any]:
    if not isinstance(item, dict):
        return {'value': item}
    return {
        k: ', '.join(map(str, v)) if isinstance(v, list) else v
        for k, v in item.items()
    }
