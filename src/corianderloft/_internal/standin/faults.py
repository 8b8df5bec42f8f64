"""Injected faults of a stand-in, set through its control endpoint."""

import typing

import pydantic

from corianderloft._internal.standin import http


class FaultSet(pydantic.BaseModel):
    """Base class for the faults of one kind of stand-in.

    A control call sets only the fields that are present in its body.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    def apply_update(self, update: dict[str, typing.Any] | None) -> str | None:
        """Set fields; return the validation error, or None on success."""
        if update is None:
            return 'the body is not a JSON object'
        merged = self.model_dump() | update
        try:
            checked = type(self).model_validate(merged)
        except pydantic.ValidationError as exc:
            return str(exc)
        for name in update:
            setattr(self, name, getattr(checked, name))
        return None

    def describe(self) -> dict[str, typing.Any]:
        """Return all fields as JSON values."""
        return self.model_dump(mode='json')


async def handle_update(call: http.Call, faults: FaultSet) -> bool:
    """Handle a control call; return True when it changed the faults."""
    problem = faults.apply_update(call.json())
    if problem is not None:
        await call.reply({'error': problem}, 400)
        return False
    await call.reply(faults.describe())
    return True
