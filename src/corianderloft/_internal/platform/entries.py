"""Store entries of backend servers and entry hosts."""

import orjson

from corianderloft._internal.kv import eras
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import members
from corianderloft._internal.models import states
from corianderloft._internal.utils import integers

MAX_SLOTS = 10**6
MAX_PORT = 65535

MAX_LEAVES_AFTER_S = 86_400.0
"""Bound on the time that an engine states until its end."""

_STATES = {
    'ready': states.BackendState.LIVE,
    'draining': states.BackendState.LEAVING,
}


def decode_instance(engine_id: str, value: bytes) -> instances.Instance | None:
    """Return the backend server of an entry, or None if it is malformed."""
    try:
        entry = orjson.loads(value)
        address, port = _address(entry['address'])
        return instances.Instance(
            engine_id=ids.EngineId(engine_id),
            started_at_ms=integers.bounded(entry.get('born', 0), 0),
            service=ids.ServiceName(_text(entry['service'])),
            address=address,
            port=port,
            failure_domain=ids.FailureDomain(_text(entry['zone'])),
            slots=integers.bounded(entry['slots'], 1, MAX_SLOTS),
            state=_STATES[entry['state']],
            reclaimable=entry.get('spot') is True,
            leaves_after=_leaves_after(entry.get('leaves_ms')),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _leaves_after(value: object) -> float | None:
    """Return a time in seconds; None if it is not a number of milliseconds."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return min(max(0.0, value / 1000), MAX_LEAVES_AFTER_S)


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
            'link_kbps': member.link_kbps,
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
            peer_port=integers.bounded(entry['peer'], 1, MAX_PORT),
            failure_domain=ids.FailureDomain(_text(entry['zone'])),
            start=_text(entry['start']),
            version=integers.bounded(entry.get('version', 0), 0),
            era=_era(entry.get('era')),
            link_kbps=integers.bounded(entry.get('link_kbps', 0), 0),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _era(value: object) -> ids.Era | None:
    """Return an era; None for an entry of a release that states none."""
    if value is None:
        return None
    return ids.Era(integers.bounded(value, 0, eras.MAX_ERA))


def _address(text: object) -> tuple[str, int]:
    address, _, port = _text(text).rpartition(':')
    port_number = int(port)
    if not address or not 0 < port_number <= MAX_PORT:
        raise ValueError(f'{text!r} is not of the form IP:PORT')
    return address, port_number


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f'{value!r} is not a non-empty string')
    return value
