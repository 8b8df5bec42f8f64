"""ID of the request that the current task handles."""

import contextvars
import logging

NO_REQUEST_ID = '-'

REQUEST_ID: contextvars.ContextVar[str] = contextvars.ContextVar(
    'request_id', default=NO_REQUEST_ID
)
"""ID of the current request; inherited by child tasks."""


class RequestIdFilter(logging.Filter):
    """Adds the ID of the current request to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Set ``request_id`` unless the record already has one."""
        if not hasattr(record, 'request_id'):
            record.request_id = REQUEST_ID.get()
        return True
