"""Entries of backend servers and hosts in the platform's store."""

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
    """Return the backend server that an entry names, or None if broken."""
    try:
        entry = orjson.loads(value)
        address, port = _address(entry['address'])
        slots, born = entry['slots'], entry.get('born', 0)
        if not _whole(slots, 1) or not _whole(born, 0):
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
    """Return the entry of an entry host."""
    return orjson.dumps(
        {
            'front': f'{member.address}:{member.port}',
            'peer': member.peer_port,
            'zone': member.failure_domain,
            'start': member.start,
        }
    )


def decode_member(host_id: str, value: bytes) -> members.Member | None:
    """Return the entry host that an entry names, or None if broken."""
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
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _address(text: object) -> tuple[str, int]:
    address, _, port = _text(text).rpartition(':')
    number = int(port)
    if not address or not 0 < number < 65536:
        raise ValueError(f'{text!r} is no IP:PORT')
    return address, number


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f'{value!r} is no text')
    return value


def _whole(value: object, least: int) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and value >= least
    )
