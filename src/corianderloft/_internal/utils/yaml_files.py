"""Reads user-written YAML files."""

import collections.abc
import pathlib
import typing

import yaml

from corianderloft._internal.utils import checking


def read_yaml(
    path: pathlib.Path, name: str | None = None
) -> dict[str, typing.Any] | checking.Problem:
    """Read a file that contains one mapping.

    Parameters
    ----------
    path : Path
        File to read.
    name : str, optional
        Name of the file in messages; the path by default.

    Returns
    -------
    dict or Problem
        The mapping, which is empty for an empty file, or the error.
    """
    file = name or str(path)
    try:
        text = path.read_text(encoding='utf-8')
        data = yaml.safe_load(text)
        duplicate = _find_duplicate_key(yaml.compose(text, yaml.SafeLoader))
    except OSError as exc:
        return checking.Problem(
            file, '', f'cannot be read: {exc.strerror}', 'a readable file'
        )
    except (UnicodeDecodeError, yaml.YAMLError) as exc:
        message = ' '.join(str(exc).split())
        return checking.Problem(
            file, '', f'is not YAML: {message}', 'YAML in UTF-8'
        )
    if duplicate is not None:
        return checking.Problem(
            file,
            duplicate.value,
            f'is written twice, again in line {duplicate.start_mark.line + 1}',
            'each key once in a mapping',
        )
    if data is None:
        return {}
    if not isinstance(data, dict):
        return checking.Problem(
            file, '', f'holds {type(data).__name__}', 'a mapping of keys'
        )
    return {str(key): value for key, value in data.items()}


def _find_duplicate_key(node: yaml.Node | None) -> yaml.ScalarNode | None:
    """Return the first key that occurs twice in a mapping, or None."""
    if isinstance(node, yaml.SequenceNode):
        return _first_duplicate(node.value)
    if not isinstance(node, yaml.MappingNode):
        return None
    seen = set()
    for key, _ in node.value:
        if isinstance(key, yaml.ScalarNode) and key.value in seen:
            return key
        seen.add(key.value if isinstance(key, yaml.ScalarNode) else None)
    return _first_duplicate(value for _, value in node.value)


def _first_duplicate(
    nodes: collections.abc.Iterable[yaml.Node],
) -> yaml.ScalarNode | None:
    found = map(_find_duplicate_key, nodes)
    return next((key for key in found if key is not None), None)
