"""Parameters of templates: values checked and put in."""

import collections.abc
import re
import typing

import pydantic

from corianderloft._internal.declarations import schema
from corianderloft._internal.utils import checking

_REFERENCE = re.compile(r'\$\{([A-Za-z0-9_-]+)\}')

Values = collections.abc.Mapping[str, schema.ParameterValue]


class _Holder(pydantic.BaseModel):
    """Holds the parameters of a template while they are checked."""

    parameters: dict[str, schema.Parameter] = {}


def declared_parameters(
    raw: collections.abc.Mapping[str, typing.Any], file: str, key: str
) -> dict[str, schema.Parameter] | tuple[checking.Problem, ...]:
    """Return the parameters that a template declares, or every mistake."""
    held = {'parameters': raw.get('parameters') or {}}
    checked = checking.check(_Holder, held, file, key)
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
    """Return what is wrong with a value for ``parameter``, or None."""
    allowed = _allowed(parameter)
    if parameter.choices is not None and value not in parameter.choices:
        return checking.Problem(file, key, f'is {value!r}', allowed)
    if not _same_kind(parameter.default, value):
        return checking.Problem(file, key, f'is {value!r}', allowed)
    if _out_of_range(parameter, value):
        return checking.Problem(file, key, f'is {value!r}', allowed)
    return None


def substitute(raw: typing.Any, values: Values) -> typing.Any:
    """Return ``raw`` with each ``${name}`` replaced by its value.

    A text that is one reference becomes the value itself; a reference inside
    a longer text becomes the value's text. Unknown references stay.
    """
    if isinstance(raw, dict):
        return {key: substitute(item, values) for key, item in raw.items()}
    if isinstance(raw, list):
        return [substitute(item, values) for item in raw]
    if not isinstance(raw, str):
        return raw
    whole = _REFERENCE.fullmatch(raw)
    if whole is not None:
        return values.get(whole.group(1), raw)
    return _REFERENCE.sub(
        lambda found: str(values.get(found.group(1), found.group(0))), raw
    )


def references(raw: typing.Any) -> set[str]:
    """Return the names of all parameters that ``raw`` refers to."""
    if isinstance(raw, dict):
        raw = list(raw.values())
    if isinstance(raw, list):
        return {name for item in raw for name in references(item)}
    return set(_REFERENCE.findall(raw)) if isinstance(raw, str) else set()


def _same_kind(
    default: schema.ParameterValue, value: schema.ParameterValue
) -> bool:
    """Tell whether a value can stand where the default can."""
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


def _allowed(parameter: schema.Parameter) -> str:
    if parameter.choices is not None:
        return ' | '.join(map(str, parameter.choices))
    parts = (
        f'a value like {parameter.default!r}',
        '' if parameter.minimum is None else f'at least {parameter.minimum}',
        '' if parameter.maximum is None else f'at most {parameter.maximum}',
    )
    return ', '.join(part for part in parts if part)
