"""Human-readable tables built from JSON responses."""

import collections.abc
import typing

from corianderloft._internal.cli import output


def build_tables(
    body: typing.Any, title: str = ''
) -> collections.abc.Iterator[output.Table]:
    """Yield a table of the scalar fields, then the nested tables.

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
    scalars = {k: v for k, v in body.items() if not _is_container(v)}
    if scalars:
        rows = [{'field': k, 'value': v} for k, v in scalars.items()]
        yield output.Table(rows, title)
    for key, value in body.items():
        if _is_container(value):
            yield from _nested_tables(key, value)


def _nested_tables(
    key: str, value: typing.Any
) -> collections.abc.Iterator[output.Table]:
    is_dict_of_dicts = (
        isinstance(value, dict)
        and value
        and all(isinstance(item, dict) for item in value.values())
    )
    if is_dict_of_dicts:
        rows = [{'name': name} | item for name, item in value.items()]
        yield from build_tables(rows, key)
    else:
        yield from build_tables(value, key)


def _is_container(value: typing.Any) -> bool:
    return isinstance(value, (dict, list))


def _row(item: typing.Any) -> dict[str, typing.Any]:
    if not isinstance(item, dict):
        return {'value': item}
    return {
        k: ', '.join(map(str, v)) if isinstance(v, list) else v
        for k, v in item.items()
    }
