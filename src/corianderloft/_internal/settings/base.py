"""Base class and field helper of the settings sections."""

import typing

import pydantic


class Section(pydantic.BaseModel):
    """Base class of sections; immutable, and rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


def setting(
    default: typing.Any,
    description: str,
    unit: str = '',
    **bounds: typing.Any,
) -> typing.Any:
    """Return a field with its description, unit and bounds.

    Parameters
    ----------
    default : object
        Default value; ``...`` makes the key required.
    description : str
        What the key does, for docs/settings.md.
    unit : str
        Unit of the value, for example ``s`` or ``bytes``.
    **bounds : object
        Bounds that pydantic checks: ``ge``, ``gt``, ``le``, ``lt``.
    """
    return pydantic.Field(
        default,
        description=description,
        json_schema_extra={'unit': unit},
        **bounds,
    )
