"""Parameters of templates: validation and substitution of values."""

import collections.abc
import re
import typing

import pydantic

from corianderloft._internal.declarations import schema
from corianderloft._internal.utils import checking

_REFERENCE = re.compile(r'\$\{([A-Za-z0-9_-]+)\}')

Values = collections.abc.Mapping[str, schema.ParameterValue]


class _ParameterSet(pydantic.BaseModel):
    """Model for the validation of the parameters of a template."""

    parameters: dict[str, schema.Parameter] = {}


def declared_parameters(
    raw: collections.abc.Mapping[str, typing.Any], file: str, key: str
) -> dict[str, schema.Parameter] | tuple[checking.Problem, ...]:
    """Return the parameters that a template declares, or all errors."""
    data = {'parameters': raw.get('parameters') or {}}
    checked = checking.check(_ParameterSet, data, file, key)
    return checked if isinstance(checked, tuple) else checked.parameters


def defaults(
    parameters: collections.abc.Mapping[str, schema.Parameter],
) -> dict[str, schema.ParameterValue]:
    """Return the default value of each parameter."""
    return {name: p.default for name, p in parameters.items()}


def check_value(
    parameter: schema.Parameter,
    value: schema.ParameterValue,
    file: str,
    key: str,
) -> checking.Problem | None:
    """Return the problem with a value for ``parameter``, or None."""
    allowed = _describe_allowed(parameter)
    if parameter.choices is not None and value not in parameter.choices:
        return checking.Problem(file, key, f'is {value!r}', allowed)
    if not _same_kind(parameter.default, value):
        return checking.Problem(file, key, f'is {value!r}', allowed)
    if _out_of_range(parameter, value):
        return checking.Problem(file, key, f'is {value!r}', allowed)
    return None


def substitute(raw: typing.Any, values: Values) -> typing.Any:
    """Return ``raw`` with each ``${name}`` replaced by its value.

    A string that consists of a single reference is replaced by the value
    itself, with its type; a reference within a longer string is replaced by
    the value as text. Unknown references are left as they are.
    """
    if isinstance(raw, dict):
        return {key: substitute(item, values) for key, item in raw.items()}
    if isinstance(raw, list):
        return [substitute(item, values) for item in raw]
    if not isinstance(raw, str):
        return raw
    full_match = _REFERENCE.fullmatch(raw)
    if full_match is not None:
        return values.get(full_match.group(1), raw)
    return _REFERENCE.sub(
        lambda match: str(values.get(match.group(1), match.group(0))), raw
    )


def references(raw: typing.Any) -> set[str]:
    """Return the names of all parameters referenced in ``raw``."""
    if isinstance(raw, dict):
        raw = list(raw.values())
    if isinstance(raw, list):
        return {name for item in raw for name in references(item)}
    return set(_REFERENCE.findall(raw)) if isinstance(raw, str) else set()


def _same_kind(
    default: schema.ParameterValue, value: schema.ParameterValue
) -> bool:
    """Return whether a value is of the same kind as the default.

    The kinds are booleans, numbers and strings; integers and floats are
    interchangeable.
    """
    if isinstance(default, bool) or isinstance(value, bool):
        return isinstance(default, bool) and isinstance(value, bool)
    numbers = (int, float)
    return isinstance(default, numbers) == isinstance(value, numbers)


def _out_of_range(
    parameter: schema.Parameter, value: schema.ParameterValue
) -> bool:
    if isinstance(value, str):
        return False
    low, high = parameter.minimum, parameter.maximum
    below = low is not None and value < low
    above = high is not None and value > high
    return below or above


def _describe_allowed(parameter: schema.Parameter) -> str:
    if parameter.choices is not None:
        return ' | '.join(map(str, parameter.choices))
    parts = (
        f'a value like {parameter.default!r}',
        '' if parameter.minimum is None else f'at least {parameter.minimum}',
        '' if parameter.maximum is None else f'at most {parameter.maximum}',
    )
    return ', '.join(part for part in parts if part)
