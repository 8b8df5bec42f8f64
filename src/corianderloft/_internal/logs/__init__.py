"""Logging: one line per event, with the ID of its request."""

from corianderloft._internal.logs.context import REQUEST_ID
from corianderloft._internal.logs.outcomes import log_outcome
from corianderloft._internal.logs.outcomes import RequestLine
from corianderloft._internal.logs.setup import configure

__all__ = ['REQUEST_ID', 'RequestLine', 'configure', 'log_outcome']
