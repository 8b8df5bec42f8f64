"""Store entries of backend servers and entry hosts."""

import typing

import orjson

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import members
from corianderloft._internal.models import states

_STATES = {
    'ready': states.BackendState.LIVE,
    'draining': states.BackendState.LEAVING,
}


def decode_instance(engine_id: str, value: bytes) -> instances.Instance | None:
    """Return the backend server of an entry, or None if it is malformed."""
    try:
        entry = orjson.loads(value)
        address, port = _address(entry['address'])
        slots, born = entry['slots'], entry.get('born', 0)
        if not _is_integer(slots, 1) or not _is_integer(born, 0):
            return None
        return instances.Instance(
            engine_id=ids.EngineId(engine_id),
            started_at_ms=born,
            service=ids.ServiceName(_text(entry['service'])),
            address=address,
            port=port,
            failure_domain=ids.FailureDomain(_text(entry['zone'])),
            slots=slots,
            state=_STATES[entry['state']],
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def encode_member(member: members.Member) -> bytes:
    """Return the store entry of an entry host."""
    return orjson.dumps(
        {
            'front': f'{member.address}:{member.port}',
            'peer': member.peer_port,
            'zone': member.failure_domain,
            'start': member.start,
            'version': member.version,
            'era': member.era,
        }
    )


def decode_member(host_id: str, value: bytes) -> members.Member | None:
    """Return the entry host of an entry, or None if it is malformed."""
    try:
        entry = orjson.loads(value)
        address, port = _address(entry['front'])
        return members.Member(
            host_id=ids.HostId(host_id),
            address=address,
            port=port,
            peer_port=int(entry['peer']),
            failure_domain=ids.FailureDomain(_text(entry['zone'])),
            start=_text(entry['start']),
            version=int(entry.get('version', 0)),
            era=_era(entry.get('era')),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _era(value: object) -> ids.Era | None:
    """Return an era; None for an entry of a release that states none."""
    if value is None:
        return None
    if not _is_integer(value, 0):
        raise ValueError(f'{value!r} is not an era')
    return ids.Era(typing.cast(int, value))


def _address(text: object) -> tuple[str, int]:
    address, _, port = _text(text).rpartition(':')
    port_number = int(port)
    if not address or not 0 < port_number < 65536:
        raise ValueError(f'{text!r} is not of the form IP:PORT')
    return address, port_number


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f'{value!r} is not a non-empty string')
    return value


def _is_integer(value: object, minimum: int) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and value >= minimum
    )
