"""The time up to which a copy of the store is confirmed, and by what."""

import logging

from corianderloft._internal.gateway import outages
from corianderloft._internal.kv import eras
from corianderloft._internal.models import ids
from corianderloft._internal.utils import clock

logger = logging.getLogger(__name__)

STORE = 'store'
"""Source of a copy that the store itself has confirmed."""


class ConfirmedCopy:
    """Copy of the store, with the time of its last confirmation.

    Parameters
    ----------
    min_outage : float
        Shortest outage of the store in which the entry of a live server or
        host may expire, in seconds; 0 if that is not known.

    Attributes
    ----------
    revision : Revision
        Last known revision of the store.
    source : str
        What confirmed the copy last: `STORE`, or the ID of another host.
    """

    def __init__(self, min_outage: float) -> None:
        self._min_outage = min_outage
        self._outages = outages.Outages(min_outage)
        self._confirmed_at = float('-inf')
        self._heard_at = float('-inf')
        self._gap = float('inf')
        self._store_failing = False
        self.revision = ids.Revision(0)
        self.source = STORE

    @property
    def confirmed_at(self) -> float:
        """When the store last confirmed the view, on `clock.now`."""
        return self._confirmed_at

    def age(self) -> float:
        """Return the seconds since the store last confirmed the view."""
        return clock.now() - self._confirmed_at

    def contact(self) -> outages.Contact | None:
        """Return what to tell other hosts of the contact with the store."""
        if self._store_failing:
            return None
        return self._outages.contact(self._heard_at, clock.now())

    def use_contact(
        self, host_id: ids.HostId, contact: outages.Contact
    ) -> None:
        """Use what another host tells of its contact with the store."""
        self._outages.use_contact(host_id, contact, clock.now())

    def log_fields(self) -> dict[str, object]:
        """Return the age and the source of the view, for a log line.

        ``gap_s`` is the age that it had when it was last confirmed.
        """
        return {
            'age_s': round(self.age(), 3),
            'gap_s': round(self._gap, 3),
            'source': self.source,
        }

    def heard_age(self) -> float:
        """Return the seconds since the store was last known to be up."""
        return clock.now() - self._heard_at

    def confirm(
        self,
        sent_at: float,
        source: str = STORE,
        heard_at: float | None = None,
    ) -> None:
        """Record that the view was up to date when a call was sent.

        Parameters
        ----------
        sent_at : float
            When the call was sent, on `clock.now`, in seconds.
        source : str
            What replied: `STORE`, or the ID of another host.
        heard_at : float or None
            When the store was up, if that is known to be later.
        """
        self.source = source
        self._gap = self.age()
        self._outages.note_contact(
            self._heard_at, clock.now(), self._store_failing
        )
        self._heard_at = max(self._heard_at, sent_at, heard_at or sent_at)
        self._confirmed_at = max(self._confirmed_at, sent_at)
        if self._store_failing:
            self._store_failing = False
            logger.info('store regained', extra=eras.log_fields(self.revision))

    def note_store_failure(self, cause: str) -> None:
        """Record that a call to the store failed."""
        if not self._store_failing:
            logger.warning(
                'store lost',
                extra=eras.log_fields(self.revision)
                | self.log_fields()
                | {'cause': cause},
            )
        self._store_failing = True
