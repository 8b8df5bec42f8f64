"""Validates user-written data against pydantic models."""

import collections.abc
import dataclasses
import difflib
import types
import typing

import pydantic

M = typing.TypeVar('M', bound=pydantic.BaseModel)

Location = tuple[int | str, ...]

_BOUNDS = (
    ('ge', 'at least'),
    ('gt', 'more than'),
    ('le', 'at most'),
    ('lt', 'less than'),
    ('min_length', 'length at least'),
    ('max_length', 'length at most'),
)


@dataclasses.dataclass(frozen=True)
class Problem:
    """A validation error in a file.

    Attributes
    ----------
    file : str
        File with the error.
    key : str
        Dotted path of the key.
    message : str
        Description of the error.
    allowed : str
        Description of the allowed values.
    nearest : str or None
        Known name most similar to an unknown one.
    """

    file: str
    key: str
    message: str
    allowed: str = ''
    nearest: str | None = None

    def __str__(self) -> str:
        place = f'{self.file}: {self.key}' if self.key else self.file
        allowed = f'; allowed: {self.allowed}' if self.allowed else ''
        hint = f'; did you mean {self.nearest!r}?' if self.nearest else ''
        return f'{place}: {self.message}{allowed}{hint}'


def nearest_name(
    name: str, known: collections.abc.Iterable[str]
) -> str | None:
    """Return the known name most similar to ``name``, or None."""
    matches = difflib.get_close_matches(name, sorted(known), n=1, cutoff=0.5)
    return matches[0] if matches else None


def check(
    model: type[M], data: object, file: str, prefix: str = ''
) -> M | tuple[Problem, ...]:
    """Validate ``data`` against ``model``.

    Parameters
    ----------
    model : type
        Pydantic model.
    data : object
        Parsed content of the file.
    file : str
        Name of the file, for messages.
    prefix : str
        Dotted path of the key that contains ``data``.

    Returns
    -------
    BaseModel or tuple of Problem
        The validated value, or all errors.
    """
    try:
        return model.model_validate(data)
    except pydantic.ValidationError as exc:
        return tuple(
            _problem(model, error, file, prefix) for error in exc.errors()
        )


def describe_bounds(field: pydantic.fields.FieldInfo) -> str:
    """Describe the bounds of a field; empty if it has none."""
    found = [
        f'{phrase} {getattr(item, name)}'
        for item in field.metadata
        for name, phrase in _BOUNDS
        if getattr(item, name, None) is not None
    ]
    patterns = [
        f'text matching {item.pattern}'
        for item in field.metadata
        if getattr(item, 'pattern', None)
    ]
    return ', '.join(found + patterns)


def unit_of(field: pydantic.fields.FieldInfo) -> str:
    """Return the unit of a field; empty if it has none."""
    extra = field.json_schema_extra
    return str(extra.get('unit', '')) if isinstance(extra, dict) else ''


def join_key(*parts: int | str) -> str:
    """Join the parts of a key to a dotted path."""
    return '.'.join(str(part) for part in parts if part != '')


def _problem(
    model: type[pydantic.BaseModel],
    error: typing.Mapping[str, typing.Any],
    file: str,
    prefix: str,
) -> Problem:
    loc: Location = error['loc']
    key = join_key(prefix, *loc)
    owner = _model_at(model, loc[:-1])
    if error['type'] == 'extra_forbidden' and owner is not None:
        known = sorted(owner.model_fields)
        return Problem(
            file,
            key,
            'unknown key',
            ', '.join(known),
            nearest_name(str(loc[-1]), known),
        )
    message = error['msg'][:1].lower() + error['msg'][1:]
    return Problem(file, key, message, _allowed(owner, loc))


def _allowed(owner: type[pydantic.BaseModel] | None, loc: Location) -> str:
    """Describe the allowed values of the field at ``loc``."""
    if owner is None or not loc:
        return ''
    field = owner.model_fields.get(str(loc[-1]))
    if field is None:
        return ''
    unit = unit_of(field)
    kind = type_name(field.annotation)
    parts = (f'{kind} in {unit}' if unit else kind, describe_bounds(field))
    return ', '.join(part for part in parts if part)


def type_name(annotation: typing.Any) -> str:
    """Return the name of a type for documentation and messages."""
    origin = typing.get_origin(annotation)
    if origin is typing.Literal:
        return ' | '.join(str(a) for a in typing.get_args(annotation))
    if origin in (typing.Union, types.UnionType):
        return ' | '.join(type_name(a) for a in typing.get_args(annotation))
    if annotation is type(None):
        return 'null'
    if _model_in(annotation) is not None:
        return 'mapping'
    if origin is tuple:
        inner = (a for a in typing.get_args(annotation) if a is not ...)
        return f'list[{", ".join(map(type_name, inner))}]'
    if origin is not None:
        args = ', '.join(type_name(a) for a in typing.get_args(annotation))
        return f'{origin.__name__}[{args}]'
    if hasattr(annotation, '__members__'):
        return ' | '.join(str(m.value) for m in annotation)
    return getattr(annotation, '__name__', str(annotation))


def _model_at(
    model: type[pydantic.BaseModel], loc: Location
) -> type[pydantic.BaseModel] | None:
    """Return the model at ``loc``, or None."""
    current: typing.Any = model
    for part in loc:
        current = _child_annotation(current, part)
    found = _model_in(current)
    return found


def _child_annotation(annotation: typing.Any, part: int | str) -> typing.Any:
    """Return the type annotation of the key ``part``, or None."""
    owner = _model_in(annotation)
    if owner is not None and str(part) in owner.model_fields:
        return owner.model_fields[str(part)].annotation
    args = typing.get_args(annotation)
    return args[-1] if args else None


def _model_in(annotation: typing.Any) -> type[pydantic.BaseModel] | None:
    """Return the model that an annotation is or has as a union member."""
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    if typing.get_origin(annotation) in (typing.Union, types.UnionType):
        options = map(_model_in, typing.get_args(annotation))
        return next((o for o in options if o is not None), None)
    return None
