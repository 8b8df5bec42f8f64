"""What this host believes: declarations, backend servers, entry hosts."""

import collections.abc
import dataclasses
import logging
import typing

from corianderloft._internal.gateway import layout
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.models import routing
from corianderloft._internal.models import states
from corianderloft._internal.utils import clock

logger = logging.getLogger(__name__)

RETURN_TIME = 2.3
"""Time after an outage of the store in which entries that lapsed meanwhile
may come back, in seconds; the platform promises about two."""

KEY_MARGIN = 0.15
"""Part of the life of a removed key that is left for the steps between the
look at a key and the send, in seconds. The way of the request here needs
none: the bound counts from when the caller sent it.
"""


@dataclasses.dataclass
class _Held:
    """An entry that is missing, and when it counts as gone."""

    gone_at: float


class View:
    """Beliefs of this host, as the store last confirmed them.

    Parameters
    ----------
    places : StoreLayout
        Where they lie in the store.
    revocation_time : float or None
        Longest time that a removed key may be honoured, in seconds.

    Attributes
    ----------
    table : RoutingTable or None
        Declarations in force; None until the first were read.
    """

    def __init__(
        self, places: layout.StoreLayout, revocation_time: float | None
    ) -> None:
        self._places = places
        self._revocation_time = revocation_time
        self._items: dict[str, kv.KeyValue] = {}
        self._held: dict[str, _Held] = {}
        self._instances: dict[str, instances.Instance] = {}
        self._members: dict[str, members.Member] = {}
        self._listeners: list[listener.Listener] = []
        self._confirmed_at = float('-inf')
        self._trouble_until = float('-inf')
        self._in_trouble = False
        self.table: routing.RoutingTable | None = None
        self.revision = ids.Revision(0)

    def listen(self, other: listener.Listener) -> None:
        """Tell a listener of all later changes."""
        self._listeners.append(other)

    @property
    def current_instances(self) -> tuple[instances.Instance, ...]:
        """Backend servers."""
        return tuple(self._instances.values())

    @property
    def current_members(self) -> tuple[members.Member, ...]:
        """Entry hosts that hold a lease."""
        return tuple(self._members.values())

    def age(self) -> float:
        """Return how old the beliefs may be, in seconds."""
        return clock.now() - self._confirmed_at

    def use_revocation_time(self, revocation_time: float | None) -> None:
        """Change how long a removed key may be honoured, in seconds."""
        self._revocation_time = revocation_time

    def is_current(self) -> bool:
        """Return whether keys may be honoured on these beliefs."""
        if self.table is None:
            return False
        if self._revocation_time is None:
            return True
        return self.age() < self._revocation_time - KEY_MARGIN

    def confirm(self, asked_at: float) -> None:
        """Note that the store confirmed all beliefs when it was asked."""
        self._confirmed_at = max(self._confirmed_at, asked_at)
        if self._in_trouble:
            self._in_trouble = False
            self._trouble_until = clock.now()
            logger.info('store regained', extra={'revision': self.revision})

    def trouble(self, detail: str) -> None:
        """Note that a call on the store failed."""
        if not self._in_trouble:
            logger.warning(
                'store lost',
                extra={
                    'cause': detail,
                    'revision': self.revision,
                    'age_s': round(self.age(), 3),
                },
            )
        self._in_trouble = True
        self._trouble_until = clock.now()

    def load(self, found: kv.Found) -> None:
        """Take over a whole read of the store."""
        read = {item.key: item for item in found.items}
        missing = [
            key
            for key, item in self._items.items()
            if key not in read and item.mod_revision <= found.revision
        ]
        self.revision = max(self.revision, found.revision)
        self._change(read.values(), missing)

    def apply(self, events: collections.abc.Sequence[kv.WatchEvent]) -> None:
        """Take over changes in the order in which they were made."""
        for event in events:
            known = self._items.get(event.key)
            if known is not None and known.mod_revision >= event.revision:
                continue
            if event.item is None:
                self._change((), (event.key,))
            else:
                self._change((event.item,), ())

    def drop_held(self) -> None:
        """Drop entries that did not come back after an outage."""
        now = clock.now()
        if self._in_trouble:
            return
        gone = [k for k, held in self._held.items() if held.gone_at <= now]
        if not gone:
            return
        before = self._instances.copy(), self._members.copy()
        for key in gone:
            del self._held[key]
            self._remove(key)
        self._publish(*before)

    def _change(
        self,
        items: collections.abc.Iterable[kv.KeyValue],
        removed: collections.abc.Iterable[str],
    ) -> None:
        before = self._instances.copy(), self._members.copy()
        for item in items:
            known = self._items.get(item.key)
            self._held.pop(item.key, None)
            if known is None or known.mod_revision < item.mod_revision:
                self._items[item.key] = item
                self._take(item)
        for key in removed:
            self._items.pop(key, None)
            self._take_removal(key)
        self._publish(*before)

    def _take(self, item: kv.KeyValue) -> None:
        places = self._places
        if item.key == places.configuration_key:
            self._take_table(item)
        elif item.key.startswith(places.instances_prefix):
            name = item.key.removeprefix(places.instances_prefix)
            instance = places.decode_instance(name, item.value)
            self._set(self._instances, item, instance)
        elif item.key.startswith(places.hosts_prefix):
            name = item.key.removeprefix(places.hosts_prefix)
            member = places.decode_member(name, item.value)
            self._set(self._members, item, member)

    def _set(
        self,
        entries: dict[str, typing.Any],
        item: kv.KeyValue,
        decoded: object | None,
    ) -> None:
        if decoded is None:
            logger.warning(
                'entry ignored: it cannot be read',
                extra={'key': item.key, 'revision': item.mod_revision},
            )
            entries.pop(item.key, None)
            return
        entries[item.key] = decoded

    def _take_table(self, item: kv.KeyValue) -> None:
        table = self._places.decode_table(item.value)
        if table is None:
            logger.error(
                'declarations ignored: they cannot be read',
                extra={'revision': item.mod_revision},
            )
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        logger.info(
            'declarations in force',
            extra={'version': table.version, 'revision': item.mod_revision},
        )
        for other in self._listeners:
            other.use_table(table)

    def _take_removal(self, key: str) -> None:
        if not self._lapsed(key):
            self._remove(key)
            return
        gone_at = self._trouble_until + RETURN_TIME
        self._held[key] = _Held(gone_at)
        logger.info(
            'entry missing after an outage of the store; waiting for it',
            extra={'key': key, 'wait_s': round(gone_at - clock.now(), 3)},
        )

    def _lapsed(self, key: str) -> bool:
        """Return whether an entry may have lapsed while its owner lives."""
        now = clock.now()
        if not self._in_trouble and now > self._trouble_until + RETURN_TIME:
            return False
        instance = self._instances.get(key)
        if instance is None:
            return key in self._members
        return instance.state is states.BackendState.LIVE

    def _remove(self, key: str) -> None:
        self._instances.pop(key, None)
        self._members.pop(key, None)

    def _publish(
        self,
        old_instances: dict[str, instances.Instance],
        old_members: dict[str, members.Member],
    ) -> None:
        if old_instances != self._instances:
            _log_changes('backend server', old_instances, self._instances)
            for other in self._listeners:
                other.use_instances(self.current_instances)
        if old_members != self._members:
            _log_changes('entry host', old_members, self._members)
            for other in self._listeners:
                other.use_members(self.current_members)


def _log_changes(
    noun: str,
    old: collections.abc.Mapping[str, object],
    new: collections.abc.Mapping[str, object],
) -> None:
    for key in old.keys() | new.keys():
        if old.get(key) != new.get(key):
            logger.info(
                '%s changed',
                noun,
                extra={'key': key, 'entry': str(new.get(key, 'gone'))},
            )
