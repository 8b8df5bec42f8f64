"""Limiter ``slot_share``: an even, fixed share of slots; a baseline."""

from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting


@plugins.LIMITERS.register('slot_share')
class SlotShare:
    """Gives each live host the same share of an engine's slots."""

    def __init__(self, cfg: plugins.Settings) -> None:
        del cfg
        self._hosts = 1

    def use_host_count(self, count: int) -> None:
        """Note how many live hosts share the engines."""
        self._hosts = max(1, count)

    def limit(self, engine: engines.EngineView, lane: waiting.Lane) -> float:
        """Return the share, at least one slot."""
        return max(1.0, engine.backend.slots / self._hosts)

    def started(
        self, engine: engines.EngineView, wait: float, expected: float
    ) -> None:
        """Ignore observations."""

    def failed(self, engine: engines.EngineView) -> None:
        """Ignore failures."""
