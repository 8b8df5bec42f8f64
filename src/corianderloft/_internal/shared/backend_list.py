"""Backend servers from the platform's list and leave announcements."""

import dataclasses

import trio

from corianderloft._internal.models import backends
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared import mirror
from corianderloft._internal.shared import platform_lists

LEAVING_NOTICE_TTL_S = 60.0
DUPLICATE_WINDOW_S = 5.0


class BackendList:
    """Known backend servers.

    A server that announced that it is leaving is reported as leaving for
    `LEAVING_NOTICE_TTL_S`, because the platform's list lags behind.
    """

    def __init__(self) -> None:
        self._listed: dict[str, backends.Backend] = {}
        self._leaving_since: dict[ids.EngineId, float] = {}

    def apply(self, entry: mirror.Entry) -> None:
        """Apply one entry of the platform's list."""
        engine_id = entry.key.removeprefix(platform_lists.BACKEND_PREFIX)
        backend = platform_lists.decode_backend(entry) if entry.value else None
        if backend:
            self._listed[engine_id] = backend
        elif entry.value is None:
            self._listed.pop(engine_id, None)

    def note_leaving(self, engine_id: ids.EngineId, age: float) -> bool:
        """Record that a server announced that it is leaving.

        Parameters
        ----------
        engine_id : EngineId
            The backend server.
        age : float
            Seconds since the announcement.

        Returns
        -------
        bool
            False for an expired announcement and for one less than
            `DUPLICATE_WINDOW_S` newer than the recorded one.
        """
        announced_at = trio.current_time() - age
        known = self._leaving_since.get(engine_id)
        if known is not None and announced_at < known + DUPLICATE_WINDOW_S:
            return False
        if age > LEAVING_NOTICE_TTL_S:
            return False
        self._leaving_since[engine_id] = announced_at
        return True

    def current(self) -> tuple[backends.Backend, ...]:
        """Return all known backend servers."""
        now = trio.current_time()
        self._leaving_since = {
            engine_id: announced_at
            for engine_id, announced_at in self._leaving_since.items()
            if now - announced_at < LEAVING_NOTICE_TTL_S
        }
        return tuple(
            (
                dataclasses.replace(b, state=states.BackendState.LEAVING)
                if b.engine_id in self._leaving_since
                and b.state is states.BackendState.LIVE
                else b
            )
            for b in self._listed.values()
        )
