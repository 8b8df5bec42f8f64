"""The kernel: registries that plug-ins fill through decorators."""

from corianderloft._internal.kernel.registry import Registry
from corianderloft._internal.kernel.registry import UnknownPlugin

__all__ = ['Registry', 'UnknownPlugin']
