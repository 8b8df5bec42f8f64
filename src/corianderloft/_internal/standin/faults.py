"""Faults of a stand-in, set over its control endpoint."""

import typing

import pydantic

from corianderloft._internal.standin import http


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


async def change(call: http.Call, fault_set: FaultSet) -> bool:
    """Answer a control call; True when it changed the faults."""
    problem = fault_set.update(call.json())
    if problem is not None:
        await call.reply({'error': problem}, 400)
        return False
    await call.reply(fault_set.describe())
    return True
