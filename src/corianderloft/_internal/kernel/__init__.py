"""Plug-in registries, which are filled by decorators."""

from corianderloft._internal.kernel.registry import Registry
from corianderloft._internal.kernel.registry import UnknownPlugin

__all__ = ['Registry', 'UnknownPlugin']
