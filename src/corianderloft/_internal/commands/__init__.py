"""Commands of the command line, one module each."""

import importlib
import pkgutil

from corianderloft._internal.commands.registry import COMMANDS

__all__ = ['COMMANDS']

for _module in pkgutil.iter_modules(__path__):
    importlib.import_module(f'{__name__}.{_module.name}')
