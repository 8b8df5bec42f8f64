"""Whether a backend server may be used, by what its answers showed."""

FIRST_EJECTION = 0.5
LONGEST_EJECTION = 4.0
"""Times without requests after a failure, in seconds. The first is short
since a slow moment passes; the longest is the life of a dead entry."""

SILENT_STREAK = 2
"""Requests in a row without an answer that count as a dead server."""

ERROR_WEIGHT = 0.15
"""Weight of the newest answer in the share of failed ones."""


class Health:
    """Evidence about one backend server.

    After an ejection one request at a time tries the server again.

    Attributes
    ----------
    error_share : float
        Recent share of failed answers, from 0 to 1.
    """

    def __init__(self) -> None:
        self.error_share = 0.0
        self._silent = 0
        self._ejections = 0
        self._ejected_until = float('-inf')
        self._trying = False

    def usable(self, now: float) -> bool:
        """Return whether it may get a request."""
        if now < self._ejected_until:
            return False
        return not (self._ejections and self._trying)

    def note_sent(self) -> None:
        """Note that a request goes there."""
        self._trying = True

    def note_answer(self, failed: bool) -> None:
        """Note an answer, and whether the server failed the request."""
        self._silent = 0
        self._ejections = 0
        self._trying = False
        self.error_share += ERROR_WEIGHT * (failed - self.error_share)

    def note_silent(self, now: float) -> None:
        """Note a request that got no answer in time."""
        self._silent += 1
        self._trying = False
        if self._silent >= SILENT_STREAK or self._ejections:
            self._eject(now)

    def note_unreachable(self, now: float) -> None:
        """Note that no connection could be made, or that one broke."""
        self._trying = False
        self._eject(now)

    def note_nothing(self) -> None:
        """Note an end that says nothing about the server."""
        self._trying = False

    @property
    def suspected(self) -> bool:
        """Whether it failed and has not answered since."""
        return self._ejections > 0

    def ejected(self, now: float) -> bool:
        """Return whether it is kept out just now."""
        return now < self._ejected_until

    def _eject(self, now: float) -> None:
        time = min(LONGEST_EJECTION, FIRST_EJECTION * 2**self._ejections)
        self._ejections += 1
        self._ejected_until = now + time
