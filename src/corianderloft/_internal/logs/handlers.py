"""Format and destination of log lines."""

import logging
import typing

from pythonjsonlogger import json as json_formatter

from corianderloft._internal.logs import context

LogFormat = typing.Literal['json', 'human']

ROOT_LOGGER = 'corianderloft'

JSON_FORMAT = '{asctime}{levelname}{name}{request_id}{message}'
HUMAN_FORMAT = '{asctime} {levelname:<7} {request_id} {name}: {message}'
JSON_FIELD_NAMES = {'asctime': 'time', 'levelname': 'level', 'name': 'logger'}


class HumanFormatter(logging.Formatter):
    """Human-readable format; extra fields follow the message."""

    _STANDARD_ATTRIBUTES = frozenset(
        vars(logging.makeLogRecord({})).keys()
        | {'message', 'asctime', 'request_id'}
    )

    def __init__(self) -> None:
        super().__init__(HUMAN_FORMAT, style='{')

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, followed by the extra fields as ``name=value``."""
        line = super().format(record)
        fields = (
            f'{name}={value}'
            for name, value in vars(record).items()
            if name not in self._STANDARD_ATTRIBUTES
        )
        return ' '.join((line, *fields))


def install_handler(
    handler: logging.Handler, level: int | str, log_format: LogFormat = 'json'
) -> None:
    """Make ``handler`` the only log handler of this process."""
    handler.setFormatter(_formatter(log_format))
    handler.addFilter(context.RequestIdFilter())
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False


def _formatter(log_format: LogFormat) -> logging.Formatter:
    if log_format == 'human':
        return HumanFormatter()
    return json_formatter.JsonFormatter(
        JSON_FORMAT, style='{', rename_fields=JSON_FIELD_NAMES
    )
