"""The request that the current task works for."""

import contextvars
import logging

NO_REQUEST = '-'

REQUEST_ID: contextvars.ContextVar[str] = contextvars.ContextVar(
    'request_id', default=NO_REQUEST
)
"""Id of the request; child tasks inherit it."""


class RequestIdFilter(logging.Filter):
    """Adds the id of the current request to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Set ``request_id`` unless the record already names one."""
        if not hasattr(record, 'request_id'):
            record.request_id = REQUEST_ID.get()
        return True
