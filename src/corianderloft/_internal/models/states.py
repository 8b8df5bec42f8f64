"""States that hosts, engines and requests pass through."""

import enum


class HostState(enum.Enum):
    """Liveness of an entry host as its peers see it."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class BackendState(enum.Enum):
    """Whether a backend server may be given new work."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class RunState(enum.Enum):
    """What is known about whether a request ran on a backend server."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    MODEL = 'model'
    PLAIN = 'plain'


class FencingSupport(enum.Enum):
    """Whether engines refuse an order that bears an old fencing number."""

    CHECKED = 'checked'
    IGNORED = 'ignored'
