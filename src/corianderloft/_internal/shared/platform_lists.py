"""Decoding of the platform's lagging lists of hosts and backend servers."""

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
    """One host of the platform's list, without its id."""

    address: str
    caller_port: int
    peer_port: int
    failure_domain: ids.FailureDomain
    state: states.HostState


_LISTED_HOST = pydantic.TypeAdapter(ListedHost)


def listed_host(entry: mirror.Entry) -> interface.Host | None:
    """Decode a host; None when the entry cannot be read."""
    try:
        listed = _LISTED_HOST.validate_json(entry.value or b'')
    except pydantic.ValidationError as exc:
        logger.warning('host %s is not listed well: %s', entry.key, exc)
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


def listed_backend(entry: mirror.Entry) -> backends.Backend | None:
    """Decode a backend server; None when the entry cannot be read."""
    try:
        return _BACKEND.validate_json(entry.value or b'')
    except pydantic.ValidationError as exc:
        logger.warning('backend %s is not listed well: %s', entry.key, exc)
        return None
