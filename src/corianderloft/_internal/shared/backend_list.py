"""Backend servers as the platform's list and their own words show them."""

import dataclasses

import trio

from corianderloft._internal.models import backends
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared import mirror
from corianderloft._internal.shared import platform_lists

NOTE_LIFE_S = 60.0
NEWER_BY_S = 5.0


class BackendList:
    """Known backend servers.

    A server that said that it leaves counts as leaving for `NOTE_LIFE_S`,
    whatever the lagging list says.
    """

    def __init__(self) -> None:
        self._listed: dict[str, backends.Backend] = {}
        self._left_at: dict[ids.EngineId, float] = {}

    def apply(self, entry: mirror.Entry) -> None:
        """Take over one entry of the platform's list."""
        engine_id = entry.key.removeprefix(platform_lists.BACKEND_PREFIX)
        backend = platform_lists.listed_backend(entry) if entry.value else None
        if backend:
            self._listed[engine_id] = backend
        elif entry.value is None:
            self._listed.pop(engine_id, None)

    def note_leaving(self, engine_id: ids.EngineId, age: float) -> bool:
        """Note that a server said that it leaves; True when that is news."""
        said_at = trio.current_time() - age
        known = self._left_at.get(engine_id)
        if known is not None and said_at < known + NEWER_BY_S:
            return False
        if age > NOTE_LIFE_S:
            return False
        self._left_at[engine_id] = said_at
        return True

    def current(self) -> tuple[backends.Backend, ...]:
        """Return all known backend servers."""
        now = trio.current_time()
        self._left_at = {
            engine_id: said_at
            for engine_id, said_at in self._left_at.items()
            if now - said_at < NOTE_LIFE_S
        }
        return tuple(
            (
                dataclasses.replace(b, state=states.BackendState.LEAVING)
                if b.engine_id in self._left_at
                and b.state is states.BackendState.LIVE
                else b
            )
            for b in self._listed.values()
        )
