"""Outages of the store in which entries of live owners may have expired.

A host that hears nothing of the store cannot tell an outage of the store from
a cut of its own. Leases expire only in an outage that lasts longer than some
heartbeats, and no host hears of the store meanwhile. So a removal is taken at
its word if the time in which this host heard nothing was too short for that,
or if another host has heard of the store all the while.
"""

import dataclasses
import logging
import math

from corianderloft._internal.models import ids

logger = logging.getLogger(__name__)

REREGISTRATION_GRACE_S = 2.3
"""Time after an outage of the store in which entries whose lease expired
meanwhile may be registered again; the platform promises about two seconds."""


BACKLOG_S = 0.2
"""Time after an interval without replies in which statements of other hosts
are not used: they may have waited here while this host stood still."""


@dataclasses.dataclass(frozen=True)
class Contact:
    """What a host states of its contact with the store.

    Attributes
    ----------
    unbroken_s : float
        Time for which it has heard of the store without an interval that is
        long enough for leases to expire, in seconds.
    age_s : float
        Time since the store was last known there to be up, in seconds.
    """

    unbroken_s: float
    age_s: float


@dataclasses.dataclass
class _Interval:
    """Time in which this host heard nothing of the store.

    ``until`` is when the store was back at the latest, and ``ended_at`` when
    this host heard of it.
    """

    after: float
    until: float
    ended_at: float


class Outages:
    """The last interval in which the store may have been away.

    All times are on `clock.now`, in seconds.

    Parameters
    ----------
    min_duration : float
        Shortest outage in which the entry of a live owner may expire; 0 if
        that is not known.
    """

    def __init__(self, min_duration: float) -> None:
        self._min_duration = min_duration
        self._suspected: _Interval | None = None
        self._restored_at = float('-inf')
        self._unbroken_since = float('inf')

    def note_contact(self, previous: float, now: float, failed: bool) -> None:
        """Record that the store has replied again.

        Parameters
        ----------
        previous : float
            When the store was last known to be up; minus infinity if it never
            was.
        now : float
            Current time.
        failed : bool
            Whether calls have failed since.
        """
        if math.isinf(self._unbroken_since):
            self._unbroken_since = now
        if self._min_duration and not math.isinf(previous):
            suspected = now - previous >= self._min_duration
        else:
            suspected = failed
        if suspected:
            self._suspected = _Interval(previous, now, now)
            self._unbroken_since = now

    def note_restore(self, now: float) -> None:
        """Record that the store came back from an older copy.

        Entries are missing then that their owners write again, whatever other
        hosts have heard.
        """
        self._restored_at = now

    def use_contact(
        self, host_id: ids.HostId, contact: Contact, now: float
    ) -> None:
        """Use what another host states of its contact with the store."""
        suspected = self._suspected
        if suspected is None or now < suspected.ended_at + BACKLOG_S:
            return
        unbroken_since = now - contact.unbroken_s
        heard_at = now - contact.age_s
        if unbroken_since > suspected.after:
            # It has been back at this host since then at the latest.
            suspected.until = min(suspected.until, unbroken_since)
        elif heard_at > suspected.ended_at - self._min_duration:
            self._suspected = None
            logger.info(
                'the store was not away: another host has heard of it',
                extra={
                    'host': host_id,
                    'unheard_s': round(
                        suspected.ended_at - suspected.after, 3
                    ),
                },
            )

    def contact(self, heard_at: float, now: float) -> Contact | None:
        """Return what to state to other hosts, if there is something.

        Parameters
        ----------
        heard_at : float
            When the store was last known to be up.
        now : float
            Current time.
        """
        age = now - heard_at
        if age >= self._min_duration or self._unbroken_since > now:
            return None
        return Contact(now - self._unbroken_since, age)

    def hold_until(self) -> float:
        """Return until when entries may be missing with their owners alive."""
        lost_at = self._restored_at
        if self._suspected is not None:
            lost_at = max(lost_at, self._suspected.until)
        return lost_at + REREGISTRATION_GRACE_S
