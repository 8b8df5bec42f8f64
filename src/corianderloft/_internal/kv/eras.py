"""Eras of a store that may come back from an older copy.

Such a store loses its newest writes and gives out their revisions again. It
counts how often that happened; the count is its era.
"""

import logging

from corianderloft._internal.models import ids

logger = logging.getLogger(__name__)


class EraTracker:
    """The newest era that this process has seen.

    Attributes
    ----------
    current : Era
        The era; 0 until the store has stated one.
    """

    def __init__(self) -> None:
        self.current = ids.Era(0)

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
            If the text is not a non-negative integer.
        """
        if text is None:
            return self.current
        era = ids.Era(int(text))
        if era < 0:
            raise ValueError(f'era {era} is negative')
        if era > self.current:
            if self.current:
                logger.warning(
                    'the store came back from an older copy',
                    extra={'era': era, 'previous_era': self.current},
                )
            self.current = era
        return era
