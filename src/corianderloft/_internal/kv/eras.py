"""Revisions of a store that may come back from an older copy.

Such a store loses its newest writes and gives out their revisions again. It
counts how often that happened; the count is its era. Within this program a
revision holds the era in its upper bits and the counter of the store in the
lower ones, so that all revisions of an era are greater than those before it.
"""

import collections
import collections.abc
import logging

import trio

from corianderloft._internal.kv import interface
from corianderloft._internal.models import ids

logger = logging.getLogger(__name__)

COUNTER_BITS = 40
"""Bits of the store's counter: at a thousand writes a second it does not
exceed them in thirty years."""

MAX_ERA = (1 << 22) - 1
"""Greatest era with which a revision fits into 63 bits, as messages in JSON
and Cap'n Proto need."""

BEFORE_ANY = ids.Era(-1)
"""Earlier than the first era that a store states."""

MAX_LEASES = 1024
"""Leases remembered; those that were not renewed for longest are dropped."""

UNMATCHED_COUNTER = (1 << COUNTER_BITS) - 1
"""Counter that no key has: a comparison with it fails."""


RESTORED = 'the store came back from an older copy meanwhile'
LEASE_NOT_HELD = (
    'the lease is unknown, or older than the copy that the store came back'
    ' from'
)

Operations = collections.abc.Sequence[interface.Put | interface.Delete]


def qualify(era: ids.Era, counter: int) -> ids.Revision:
    """Return the revision for a counter of the store.

    Raises
    ------
    ValueError
        If the counter is negative or too large.
    """
    if not 0 <= counter < UNMATCHED_COUNTER:
        raise ValueError(f'revision {counter} is out of range')
    return ids.Revision(era << COUNTER_BITS | counter)


def era_of(revision: ids.Revision) -> ids.Era:
    """Return the era of a revision."""
    return ids.Era(revision >> COUNTER_BITS)


def counter_of(revision: ids.Revision) -> int:
    """Return the counter of the store in a revision."""
    return int(revision) & ((1 << COUNTER_BITS) - 1)


def log_fields(revision: ids.Revision) -> dict[str, int]:
    """Return a revision as fields of a log line."""
    return {'revision': counter_of(revision), 'era': era_of(revision)}


class EraTracker:
    """The newest era that this process has seen, and its leases of that era.

    The ID of a lease that the store has lost may be given to another host.

    Attributes
    ----------
    current : Era
        The era; 0 until the store has stated one. It may count from 0.
    """

    def __init__(self) -> None:
        self.current = ids.Era(0)
        self._stated = False
        self._leases: collections.OrderedDict[ids.LeaseId, None] = (
            collections.OrderedDict()
        )
        self._changed = trio.Event()

    async def wait_newer(self, era: ids.Era) -> ids.Era:
        """Wait until the store has stated an era later than ``era``.

        Returns the era.
        """
        while not self._stated or self.current <= era:
            await self._changed.wait()
        return self.current

    def add_lease(self, lease_id: ids.LeaseId, era: ids.Era) -> bool:
        """Remember a lease that was granted or renewed in an era.

        Returns False if the store has come back from a copy since.
        """
        if era != self.current:
            return False
        self._leases[lease_id] = None
        self._leases.move_to_end(lease_id)
        if len(self._leases) > MAX_LEASES:
            self._leases.popitem(last=False)
        return True

    def drop_lease(self, lease_id: ids.LeaseId) -> None:
        """Forget a lease that has ended."""
        self._leases.pop(lease_id, None)

    def holds_lease(self, lease_id: ids.LeaseId) -> bool:
        """Return whether a lease was granted in the newest era."""
        return lease_id in self._leases

    def observe(self, text: bytes | None) -> ids.Era:
        """Return the era of a reply, and remember the newest one.

        Parameters
        ----------
        text : bytes or None
            Era as stated in the reply. A reply without it belongs to the
            newest era.

        Raises
        ------
        ValueError
            If the text is not an integer from 0 to `MAX_ERA`.
        """
        if text is None:
            return self.current
        era = ids.Era(int(text))
        if not 0 <= era <= MAX_ERA:
            raise ValueError(f'era {era} is out of range')
        if era > self.current or not self._stated:
            if self._stated:
                logger.warning(
                    'the store came back from an older copy',
                    extra={'era': era, 'previous_era': self.current},
                )
            self.current = era
            self._stated = True
            self._leases.clear()
            self._changed.set()
            self._changed = trio.Event()
        return era

    def expected_counter(self, revision: ids.Revision) -> int:
        """Return the counter with which a key is to be compared.

        A revision of an earlier era matches no key, although its counter may
        have been given out again.
        """
        if not revision or era_of(revision) == self.current:
            return counter_of(revision)
        return UNMATCHED_COUNTER

    def holds_leases(self, operations: Operations) -> bool:
        """Return whether all leases of a write are of the newest era."""
        return all(
            operation.lease_id is None or self.holds_lease(operation.lease_id)
            for operation in operations
            if isinstance(operation, interface.Put)
        )

    def is_void(
        self,
        era: ids.Era,
        compares: collections.abc.Sequence[interface.Compare],
        operations: Operations,
    ) -> bool:
        """Return whether an acknowledged write may be lost or misplaced.

        The store may have come back from a copy without the write. And a
        revision or a lease of an earlier era may have matched one that was
        given out again.
        """
        return (
            era < self.current
            or not self.holds_leases(operations)
            or any(
                compare.mod_revision and era_of(compare.mod_revision) != era
                for compare in compares
            )
        )
