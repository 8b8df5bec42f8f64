"""Memory for the complete responses that are read for one request."""

import math

from corianderloft._internal.network import byte_budget
from corianderloft._internal.network import memory

_PART = byte_budget.Part.RESPONSES

SHARE_BYTES = 16384
"""Bytes of a response that belong to the share of its connection. Small
responses wait for no memory, whatever others hold."""


class ResponseMemory:
    """Reserves memory for one response after the other.

    Responses are read as fast as there is memory for them. Until then they
    stay at their servers.

    Parameters
    ----------
    request : RequestMemory or None
        Bytes held for the request; None counts nothing.
    """

    def __init__(self, request: memory.RequestMemory | None) -> None:
        self._request = request
        self._announced = False
        self._held = 0
        self._share_left = SHARE_BYTES

    def start(self, length: int | None) -> bool:
        """Reserve memory for a response by its announced length.

        Returns
        -------
        bool
            False if `wait` must be awaited first.
        """
        self._announced = length is not None
        self._share_left = SHARE_BYTES
        size = self._beyond_share(length or 0)
        if self._request is None or self._request.try_reserve(_PART, size):
            self._held = size
            return True
        return False

    async def wait(
        self, length: int | None, timeout: float = math.inf
    ) -> bool:
        """Wait until there is memory for the announced length.

        Returns
        -------
        bool
            False if there is none within ``timeout`` seconds, or if the
            request is dropped meanwhile.
        """
        assert self._request is not None
        size = self._beyond_share(length or 0)
        if not await self._request.reserve(_PART, size, timeout):
            return False
        self._held = size
        return True

    async def reserve_part(self, size: int) -> bool:
        """Reserve memory for a part, unless its length was announced."""
        if self._request is None or self._announced:
            return True
        beyond = self._beyond_share(size)
        self._share_left -= size - beyond
        if not await self._request.reserve(_PART, beyond):
            return False
        self._held += beyond
        return True

    def discard(self) -> None:
        """Return the memory of the present response."""
        self._release(self._held)
        self._held = 0

    def _beyond_share(self, size: int) -> int:
        return max(0, size - self._share_left)

    def _release(self, size: int) -> None:
        if self._request is not None:
            self._request.release(_PART, size)
