"""Router for language-model traffic with service levels and priorities.

Callers use `Client`; everything below ``corianderloft._internal`` may change.
"""

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
