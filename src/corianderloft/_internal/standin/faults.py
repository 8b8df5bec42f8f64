"""Faults of a stand-in, set over its control endpoint."""

import typing

import pydantic


class FaultSet(pydantic.BaseModel):
    """Base of the faults of one kind of stand-in.

    A control call sets the fields that it names; the others stay.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    def update(self, changes: dict[str, typing.Any] | None) -> str | None:
        """Set fields; return what is wrong with them, if anything."""
        if changes is None:
            return 'the body is not a JSON object'
        merged = self.model_dump() | changes
        try:
            checked = type(self).model_validate(merged)
        except pydantic.ValidationError as exc:
            return str(exc)
        for name in changes:
            setattr(self, name, getattr(checked, name))
        return None

    def describe(self) -> dict[str, typing.Any]:
        """Return all fields as JSON values."""
        return self.model_dump(mode='json')
