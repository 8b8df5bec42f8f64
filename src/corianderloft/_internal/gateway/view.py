"""Local copy of the store: declarations, backend servers and entry hosts."""

import collections.abc
import dataclasses
import logging
import math

from corianderloft._internal.gateway import crash_messages
from corianderloft._internal.gateway import declared_copy
from corianderloft._internal.gateway import departures
from corianderloft._internal.gateway import entry_log
from corianderloft._internal.gateway import layout
from corianderloft._internal.gateway import outages
from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.models import states
from corianderloft._internal.utils import clock

logger = logging.getLogger(__name__)

HOLD_MARGIN_S = 1.5
"""Time beyond that after which the store removes the entry of a silent owner:
until it has done so, and the removal has arrived here."""

KEY_MARGIN_S = 0.15
"""Part of the revocation time reserved for the steps between the check of a
key and the send. The transit of the request to this host needs no margin, as
the limit counts from when the caller sent it."""


@dataclasses.dataclass
class _MissingEntry:
    """When a missing entry is dropped, on `clock.now`, in seconds."""

    expires_at: float


@dataclasses.dataclass
class _HeldEntry:
    """When an entry of a restored store is used, on `clock.now`."""

    entry: departures.Entry
    until: float


class View(declared_copy.DeclaredCopy):
    """Local copy of the store, with the time of its last confirmation.

    Parameters
    ----------
    store_layout : StoreLayout
        Keys in the store and decoders of their values.
    revocation_time : float or None
        Maximum time for which a revoked key may be honoured, in seconds.
    entry_expiry : float
        Time after which the store removes the entry of a silent server or
        host, in seconds.
    own_key : str
        Key of the entry of this host.
    min_outage : float
        Shortest outage of the store in which the entry of a live server or
        host may expire, in seconds; 0 if that is not known.
    apply_time : float
        Maximum time until declarations take effect, in seconds; infinite if
        unspecified.
    """

    def __init__(
        self,
        store_layout: layout.StoreLayout,
        revocation_time: float | None,
        entry_expiry: float = 0.0,
        own_key: str = '',
        min_outage: float = 0.0,
        apply_time: float = math.inf,
    ) -> None:
        super().__init__(min_outage, revocation_time, apply_time)
        self._layout = store_layout
        self._entry_expiry = entry_expiry
        self._own_key = own_key
        self._departures = departures.Departures()
        self._held: dict[str, _HeldEntry] = {}
        self._entering_era = False
        self._items: dict[str, kv.KeyValue] = {}
        self._missing: dict[str, _MissingEntry] = {}
        self._instances: dict[str, instances.Instance] = {}
        self._members: dict[str, members.Member] = {}
        self._listeners: list[listener.Listener] = []
        self._settled_at = float('-inf')
        self._required_version = 0
        self._required_until = float('-inf')

    def add_listener(self, subscriber: listener.Listener) -> None:
        """Notify a listener of all later changes."""
        self._listeners.append(subscriber)

    @property
    def current_instances(self) -> tuple[instances.Instance, ...]:
        """Known backend servers."""
        return tuple(self._instances.values())

    @property
    def current_members(self) -> tuple[members.Member, ...]:
        """Entry hosts that hold a lease."""
        return tuple(self._members.values())

    def has_entry(self, key: str) -> bool:
        """Return whether the store holds an entry, as known here."""
        return key in self._items

    def is_current(self) -> bool:
        """Return whether the view is fresh enough to honour keys."""
        if self.table is None or self.is_overdue():
            return False
        if self._revocation_time is None:
            return True
        now = clock.now()
        if self.version < self._required_version and now < (
            self._required_until
        ):
            return False
        if now < self._settled_at and self._hosts_of_earlier_eras():
            return False
        return self.age() < self._revocation_time - KEY_MARGIN_S

    def changes_to(self, found: kv.Found) -> list[kv.WatchEvent]:
        """Return the changes from this view to a snapshot of the store."""
        events = [
            kv.WatchEvent(item.key, item, item.mod_revision)
            for item in found.items
        ]
        current = {item.key for item in found.items}
        events += [
            kv.WatchEvent(key, None, found.revision)
            for key in self._missing_in(current, found.revision)
        ]
        return [event for event in events if self._is_new(event)]

    def _missing_in(
        self,
        current: collections.abc.Container[str],
        revision: ids.Revision,
    ) -> list[str]:
        """Return the known keys that a snapshot lacks."""
        return [
            key
            for key, item in self._items.items()
            if key not in current and item.mod_revision <= revision
        ]

    def advance(self, revision: ids.Revision) -> None:
        """Record that the view includes all changes up to ``revision``.

        If it is of a new era, entries may be missing that their owners write
        again, as after an outage.
        """
        knew_store = bool(self.revision)
        if knew_store and eras.era_of(revision) > eras.era_of(self.revision):
            self._outages.note_restore(clock.now())
            self._entering_era = True
        self.revision = max(self.revision, revision)

    def load(self, found: kv.Found) -> None:
        """Apply a snapshot of the whole store."""
        current = {item.key: item for item in found.items}
        missing = self._missing_in(current, found.revision)
        logger.info(
            'store read',
            extra=eras.log_fields(found.revision)
            | {
                'known_revision': eras.counter_of(self.revision),
                'entries': len(current),
                'missing': len(missing),
            },
        )
        is_first = not self.revision
        self.advance(found.revision)
        self._update_entries(current.values(), missing)
        if is_first:
            self._wait_for_other_hosts()

    def apply(self, events: collections.abc.Sequence[kv.WatchEvent]) -> None:
        """Apply changes that arrived together.

        Only the last change of each key counts, and listeners hear of all of
        them at once: at the start of a large fleet each host registers.
        """
        latest = {event.key: event for event in events}.values()
        self._update_entries(
            [event.item for event in latest if event.item is not None],
            [e.key for e in latest if e.item is None and self._is_new(e)],
        )

    def _is_new(self, event: kv.WatchEvent) -> bool:
        known = self._items.get(event.key)
        return known is None or known.mod_revision < event.revision

    def expire_missing(self) -> None:
        """Drop entries that were not registered again after an outage.

        Entries that were held after a restore and are still listed are used.
        """
        now = clock.now()
        if self._store_failing:
            return
        self._release_held(now)
        hold_until = self._outages.hold_until()
        expired = [
            k
            for k, missing_entry in self._missing.items()
            if min(missing_entry.expires_at, hold_until) <= now
        ]
        if not expired:
            return
        old = self._instances.copy(), self._members.copy()
        for key in expired:
            del self._missing[key]
            self._drop_entry(key)
        self._notify_listeners(*old)

    def _release_held(self, now: float) -> None:
        released = [k for k, held in self._held.items() if held.until <= now]
        if not released:
            return
        old = self._instances.copy(), self._members.copy()
        for key in released:
            self._use_entry(key, self._held.pop(key).entry)
        self._notify_listeners(*old)

    def _use_entry(self, key: str, entry: departures.Entry) -> None:
        if isinstance(entry, members.Member):
            self._members[key] = entry
            self._require_version(entry.version)
        else:
            self._instances[key] = entry
        if departures.is_draining(entry):
            self._departures.note(key, entry, clock.now())
        else:
            self._departures.forget(key)

    def _hosts_of_earlier_eras(self) -> list[str]:
        """Return other hosts that have not registered since a restore.

        Entries that state no era are of an earlier release.
        """
        era = eras.era_of(self.revision)
        return [
            key
            for key, member in self._members.items()
            if member.era is not None
            and member.era < era
            and key != self._own_key
        ]

    def _wait_for_other_hosts(self) -> None:
        """Wait for the declarations of hosts that knew the store before.

        A host that starts right after a restore knows only the copy.
        """
        waiting_for = self._hosts_of_earlier_eras()
        if waiting_for:
            self._settled_at = clock.now() + outages.REREGISTRATION_GRACE_S
            logger.info(
                'the store was restored; waiting for other hosts to register',
                extra={
                    'keys': waiting_for[: entry_log.MAX_LOGGED_CHANGES],
                    'wait_s': outages.REREGISTRATION_GRACE_S,
                },
            )

    def _require_version(self, version: int) -> None:
        """Honour no keys before the declarations of another host arrive.

        A restored store may hold declarations from before keys were revoked.
        They are waited for no longer than a revoked key may be honoured, as
        the operator may have withdrawn a version that was not acknowledged.
        """
        if version <= max(self._required_version, self.version):
            return
        self._required_version = version
        self._required_until = clock.now() + (self._revocation_time or 0.0)
        logger.warning(
            'another host has later declarations; waiting for them',
            extra={'version': self.version, 'required_version': version},
        )

    def _update_entries(
        self,
        items: collections.abc.Iterable[kv.KeyValue],
        removed: collections.abc.Iterable[str],
    ) -> None:
        old = self._instances.copy(), self._members.copy()
        for item in items:
            known = self._items.get(item.key)
            self._missing.pop(item.key, None)
            if known is None or known.mod_revision < item.mod_revision:
                self._items[item.key] = item
                self._apply_item(item)
            elif known.value != item.value:
                logger.warning(
                    'entry passed over: its revision is not newer',
                    extra=eras.log_fields(item.mod_revision)
                    | {
                        'key': item.key,
                        'known_revision': eras.counter_of(known.mod_revision),
                    },
                )
        for key in removed:
            self._items.pop(key, None)
            self._apply_removal(key)
        self._entering_era = False
        self._notify_listeners(*old)

    def _apply_item(self, item: kv.KeyValue) -> None:
        store_layout = self._layout
        if item.key == store_layout.configuration_key:
            self._apply_table(item)
        elif item.key.startswith(store_layout.instances_prefix):
            name = item.key.removeprefix(store_layout.instances_prefix)
            instance = store_layout.decode_instance(name, item.value)
            self._put_decoded(item, instance)
        elif item.key.startswith(store_layout.hosts_prefix):
            name = item.key.removeprefix(store_layout.hosts_prefix)
            member = store_layout.decode_member(name, item.value)
            self._put_decoded(item, member)
        elif item.key.startswith(store_layout.crashes_prefix):
            self._apply_crash_report(item)

    def _apply_crash_report(self, item: kv.KeyValue) -> None:
        report = crash_messages.decode_report(item.value)
        if report is None:
            entry_log.log_unreadable(item)
            return
        for subscriber in self._listeners:
            subscriber.use_crash_report(report)

    def _put_decoded(
        self, item: kv.KeyValue, decoded: departures.Entry | None
    ) -> None:
        key, now = item.key, clock.now()
        self._held.pop(key, None)
        if decoded is None:
            entry_log.log_unreadable(item)
            self._instances.pop(key, None)
            self._members.pop(key, None)
            return
        if self._entering_era and (
            self._departures.judge(key, decoded, now)
            is departures.Verdict.HOLD
        ):
            until = now + self._entry_expiry + HOLD_MARGIN_S
            self._held[key] = _HeldEntry(decoded, until)
            logger.info(
                'entry of a restored store held: its owner had left',
                extra=eras.log_fields(item.mod_revision)
                | {'key': key, 'wait_s': round(until - now, 3)},
            )
            return
        self._use_entry(key, decoded)

    def _apply_table(self, item: kv.KeyValue) -> None:
        started_at = clock.now()
        table = self._layout.decode_table(item.value)
        if table is None:
            logger.error(
                'declarations ignored: they cannot be read',
                extra=eras.log_fields(item.mod_revision),
            )
            return
        if not self._is_newer_table(table):
            return
        self.table = table
        for subscriber in self._listeners:
            subscriber.use_table(table)
        self.declaration_bytes = len(item.value)
        self.apply_s = clock.now() - started_at
        logger.info(
            'declarations in force',
            extra=eras.log_fields(item.mod_revision)
            | self.log_fields()
            | {
                'version': table.version,
                'bytes': len(item.value),
                'took_s': round(self.apply_s, 3),
            },
        )

    def _apply_removal(self, key: str) -> None:
        if not self._may_be_lease_expiry(key):
            self._drop_entry(key)
            return
        expires_at = clock.now() + outages.REREGISTRATION_GRACE_S
        self._missing[key] = _MissingEntry(expires_at)
        logger.info(
            'entry missing after an outage of the store; waiting for it',
            extra=self.log_fields()
            | {'key': key, 'wait_s': round(expires_at - clock.now(), 3)},
        )

    def _may_be_lease_expiry(self, key: str) -> bool:
        """Return whether a lease may have expired with its owner alive.

        A removal that arrives with the first reply after an interval without
        any is judged once the interval is known; see `expire_missing`.
        """
        now = clock.now()
        if (
            not self._store_failing
            and not 0.0 < self._min_outage <= self.heard_age()
            and now > self._outages.hold_until()
        ):
            return False
        instance = self._instances.get(key)
        if instance is None:
            return key in self._members
        return instance.state is states.BackendState.LIVE

    def _drop_entry(self, key: str) -> None:
        left = self._instances.pop(key, None) or self._members.pop(key, None)
        if left is not None:
            self._departures.note(key, left, clock.now())
        self._held.pop(key, None)

    def _notify_listeners(
        self,
        old_instances: dict[str, instances.Instance],
        old_members: dict[str, members.Member],
    ) -> None:
        if old_instances != self._instances:
            entry_log.log_changes(
                'backend server',
                old_instances,
                self._instances,
                self.log_fields(),
            )
            for subscriber in self._listeners:
                subscriber.use_instances(self.current_instances)
        if old_members != self._members:
            entry_log.log_changes(
                'entry host', old_members, self._members, self.log_fields()
            )
            for subscriber in self._listeners:
                subscriber.use_members(self.current_members)
