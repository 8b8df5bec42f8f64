"""Datagrams in which hosts report what they send to limited servers.

They travel beside the loads, in the same scopes.
"""

import collections.abc
import dataclasses
import math
import typing

import orjson
import trio

from corianderloft._internal.gateway import load_messages
from corianderloft._internal.models import ids
from corianderloft._internal.models import members
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import placer
from corianderloft._internal.placement import rate_limits
from corianderloft._internal.utils import integers

Uses = dict[engines.Key, rate_limits.RateUse]


@dataclasses.dataclass
class _Source:
    """Last report of one sender and scope.

    Attributes
    ----------
    start : str
        Random ID of the sender's process.
    sequence : int
        Sequence number of its last datagram.
    received_at : float
        When that arrived, on trio's clock.
    uses : dict
        Uses by server.
    """

    start: str = ''
    sequence: int = 0
    received_at: float = 0.0
    uses: Uses = dataclasses.field(default_factory=dict)


def is_rate_datagram(data: bytes) -> bool:
    """Tell datagrams with rates from others."""
    return data.startswith(b'{"rates"')


class RateReports:
    """Sends and receives the use of limited servers.

    Parameters
    ----------
    request_placer : Placer
        Provides the use by this host and learns of the use by others.
    own : Member
        Entry of this host.
    """

    def __init__(
        self, request_placer: placer.Placer, own: members.Member
    ) -> None:
        self._placer = request_placer
        self._own = own
        self._sequence = 0
        self._sources: dict[load_messages.Source, _Source] = {}
        self._last_sent: dict[load_messages.Scope, dict[engines.Key, int]] = {
            scope: {} for scope in load_messages.Scope
        }

    def next_datagram(
        self, scope: load_messages.Scope, full: bool
    ) -> bytes | None:
        """Return the next datagram, or None if there is nothing to send.

        Parameters
        ----------
        scope : Scope
            Whose use it reports.
        full : bool
            Whether to send all uses instead of changes only.
        """
        uses = self._uses(scope)
        last = self._last_sent[scope]
        changed = [
            (key, use)
            for key, use in uses.items()
            if full or last.get(key) != use.sent
        ]
        self._last_sent[scope] = {key: use.sent for key, use in uses.items()}
        if not changed:
            return None
        self._sequence += 1
        return orjson.dumps(
            {
                'rates': scope.value,
                'host': self._own.host_id,
                'start': self._own.start,
                'sequence': self._sequence,
                'full': full,
                'rows': [
                    [*key, use.sent, use.limit, round(use.age_s, 3)]
                    for key, use in changed
                ],
            }
        )

    def receive(self, data: bytes) -> bool:
        """Use a datagram; return False if it is malformed."""
        try:
            message = orjson.loads(data)
            scope = load_messages.Scope(message['rates'])
            source = load_messages.Source(
                ids.HostId(str(message['host'])), scope
            )
            start = str(message['start'])
            sequence = integers.bounded(message['sequence'], 0)
            uses = dict(_decode_row(*row) for row in message['rows'])
            full = bool(message['full'])
        except (ValueError, TypeError, KeyError):
            return False
        known = self._sources.setdefault(source, _Source())
        if start == known.start and sequence <= known.sequence:
            return True
        replaces = full or start != known.start
        dropped = known.uses.keys() - uses.keys() if replaces else ()
        known.uses = uses if replaces else known.uses | uses
        known.start, known.sequence = start, sequence
        known.received_at = trio.current_time()
        self._tell(source, uses, dropped)
        return True

    def expire(self, cutoff: float) -> None:
        """Drop the reports of hosts that have sent none since a time."""
        for source, known in list(self._sources.items()):
            if known.received_at < cutoff:
                del self._sources[source]
                self._tell(source, {}, known.uses.keys())

    def _tell(
        self,
        source: load_messages.Source,
        uses: Uses,
        dropped: collections.abc.Iterable[engines.Key],
    ) -> None:
        for key, use in uses.items():
            self._placer.update_peer_rate(source.label, key, use)
        for key in dropped:
            self._placer.update_peer_rate(source.label, key, None)

    def _uses(self, scope: load_messages.Scope) -> Uses:
        """Return the uses of a scope, with the newest limits known here."""
        own = self._placer.own_rate_uses()
        scopes = load_messages.Scope
        if scope is scopes.HOST:
            return own
        from_others = scopes.HOST if scope is scopes.GROUP else scopes.GROUP
        parts = [
            known.uses
            for source, known in self._sources.items()
            if source.scope is from_others
        ]
        return {
            key: dataclasses.replace(
                use,
                sent=sum(part[key].sent for part in parts if key in part)
                + (use.sent if scope is scopes.GROUP else 0),
            )
            for key, use in own.items()
        }


def _decode_row(
    engine_id: typing.Any,
    born: typing.Any,
    sent: typing.Any,
    limit: typing.Any,
    age_s: typing.Any,
) -> tuple[engines.Key, rate_limits.RateUse]:
    key = ids.EngineId(str(engine_id)), integers.bounded(born, 0)
    return key, rate_limits.RateUse(
        integers.bounded(sent, 0, load_messages.MAX_COUNT),
        None if limit is None else _finite(limit),
        _finite(age_s),
    )


def _finite(value: typing.Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f'{number} is not finite')
    return number
