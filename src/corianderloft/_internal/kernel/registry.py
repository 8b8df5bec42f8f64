"""Registries of named plug-ins."""

import collections.abc
import dataclasses
import difflib
import typing

T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True)
class UnknownPlugin:
    """Result of looking up a name that no plug-in is registered under.

    Attributes
    ----------
    kind : str
        Kind of plug-ins in the registry, for example ``balancer``.
    name : str
        Name that was looked up.
    known : tuple of str
        All registered names, sorted.
    """

    kind: str
    name: str
    known: tuple[str, ...]

    def __str__(self) -> str:
        matches = difflib.get_close_matches(self.name, self.known, n=1)
        hint = f'; did you mean {matches[0]!r}?' if matches else ''
        known_names = ', '.join(self.known)
        return (
            f'unknown {self.kind} {self.name!r}{hint} (known: {known_names})'
        )


class Registry(typing.Generic[T]):
    """Plug-ins of one kind, by name.

    Parameters
    ----------
    kind : str
        Kind of plug-ins in the registry; used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._plugins: dict[str, T] = {}

    def register(self, name: str) -> collections.abc.Callable[[T], T]:
        """Return a decorator that registers a plug-in under ``name``.

        Raises
        ------
        ValueError
            If the name is already registered, which is a programming error.
        """

        def decorate(plugin: T) -> T:
            if name in self._plugins:
                raise ValueError(f'{self.kind} {name!r} is already registered')
            self._plugins[name] = plugin
            return plugin

        return decorate

    def find(self, name: str) -> T | UnknownPlugin:
        """Return the plug-in named ``name``, or `UnknownPlugin`."""
        plugin = self._plugins.get(name)
        if plugin is None:
            return UnknownPlugin(self.kind, name, self.names())
        return plugin

    def names(self) -> tuple[str, ...]:
        """Return all registered names, sorted."""
        return tuple(sorted(self._plugins))
