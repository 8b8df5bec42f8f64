"""Client library for callers: host lookup, failover, typed outcomes."""

from corianderloft._internal.caller.addresses import Address
from corianderloft._internal.caller.client import Client
from corianderloft._internal.caller.outcomes import ChatAnswer
from corianderloft._internal.caller.outcomes import Event
from corianderloft._internal.caller.outcomes import PlainAnswer
from corianderloft._internal.caller.outcomes import Refused
from corianderloft._internal.caller.outcomes import Unreachable
from corianderloft._internal.caller.settings import ClientSettings

__all__ = [
    'Address',
    'ChatAnswer',
    'Client',
    'ClientSettings',
    'Event',
    'PlainAnswer',
    'Refused',
    'Unreachable',
]
