"""Section ``host``: identity and location of this host."""

import pydantic

from corianderloft._internal.settings import base

MAX_NAME_CHARACTERS = 63


class HostSettings(base.Section):
    """Identity and place of this host."""

    host_id: str = base.setting(
        ...,
        'Identity of the host.',
        min_length=1,
        max_length=MAX_NAME_CHARACTERS,
    )
    address: str = base.setting('127.0.0.1', 'IP number of the host.')
    failure_domain: str = base.setting(
        'fd-1',
        'Failure domain it stands in.',
        min_length=1,
        max_length=MAX_NAME_CHARACTERS,
    )
    memory_bytes: int = base.setting(
        0,
        'Memory that the process may use; bounds the request bodies and '
        'answers held at a time. 0: unknown, taken as 2 GB.',
        'bytes',
        ge=0,
    )

    @pydantic.field_validator('address')
    @classmethod
    def _is_ip_number(cls, value: str) -> str:
        pydantic.TypeAdapter(pydantic.IPvAnyAddress).validate_python(value)
        return value
