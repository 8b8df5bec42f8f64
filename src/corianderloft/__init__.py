"""Router for language-model traffic with service levels and priorities.

`Client` is the public API; ``corianderloft._internal`` is private and may
change without notice.
"""

import importlib
import typing

if typing.TYPE_CHECKING:
    from corianderloft._internal.caller import Address
    from corianderloft._internal.caller import ChatAnswer
    from corianderloft._internal.caller import Client
    from corianderloft._internal.caller import ClientSettings
    from corianderloft._internal.caller import Event
    from corianderloft._internal.caller import PlainAnswer
    from corianderloft._internal.caller import Refused
    from corianderloft._internal.caller import Unreachable

__version__ = '0.1.0'

__all__ = [
    'Address',
    'ChatAnswer',
    'Client',
    'ClientSettings',
    'Event',
    'PlainAnswer',
    'Refused',
    'Unreachable',
    '__version__',
]


def __getattr__(name: str) -> typing.Any:
    """Import the caller library lazily, on first use.

    The daemons import this package too and do not need the library.
    """
    if name not in __all__:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    caller = importlib.import_module('corianderloft._internal.caller')
    return getattr(caller, name)
