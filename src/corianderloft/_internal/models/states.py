"""States of hosts, backend servers and requests."""

import enum


class HostState(enum.Enum):
    """Liveness of an entry host, as observed by its peers."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class BackendState(enum.Enum):
    """Whether a backend server accepts new requests."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class RunState(enum.Enum):
    """What is known about whether a request ran on a backend server."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class ServiceKind(enum.Enum):
    """Kind of backend servers behind a service."""

    MODEL = 'model'
    PLAIN = 'plain'


class FencingSupport(enum.Enum):
    """Whether engines refuse orders with an outdated fencing number."""

    CHECKED = 'checked'
    IGNORED = 'ignored'
