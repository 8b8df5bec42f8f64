"""Decodes the platform's lists of hosts and backend servers.

The lists may lag behind the real state.
"""

import dataclasses
import logging

import pydantic

from corianderloft._internal.models import backends
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared import interface
from corianderloft._internal.shared import mirror

logger = logging.getLogger(__name__)

PLATFORM_PREFIX = 'platform/'
HOST_PREFIX = PLATFORM_PREFIX + 'hosts/'
BACKEND_PREFIX = PLATFORM_PREFIX + 'backends/'
_BACKEND = pydantic.TypeAdapter(backends.Backend)


@dataclasses.dataclass(frozen=True)
class ListedHost:
    """One entry of the platform's list of hosts, without the host id."""

    address: str
    caller_port: int
    peer_port: int
    failure_domain: ids.FailureDomain
    state: states.HostState


_LISTED_HOST = pydantic.TypeAdapter(ListedHost)


def decode_host(entry: mirror.Entry) -> interface.Host | None:
    """Return the host in an entry, or None if it cannot be decoded."""
    try:
        listed = _LISTED_HOST.validate_json(entry.value or b'')
    except pydantic.ValidationError as exc:
        logger.warning(
            'ignoring invalid host entry %s in the platform list: %s',
            entry.key,
            exc,
        )
        return None
    return interface.Host(
        ids.HostId(entry.key.removeprefix(HOST_PREFIX)),
        ids.Incarnation(0),
        listed.address,
        listed.caller_port,
        listed.peer_port,
        listed.failure_domain,
        listed.state,
    )


def decode_backend(entry: mirror.Entry) -> backends.Backend | None:
    """Return the backend server in an entry, or None if it is invalid."""
    try:
        return _BACKEND.validate_json(entry.value or b'')
    except pydantic.ValidationError as exc:
        logger.warning(
            'ignoring invalid backend entry %s in the platform list: %s',
            entry.key,
            exc,
        )
        return None
