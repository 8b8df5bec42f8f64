"""Form of the log lines, and where they go."""

import logging
import typing

from pythonjsonlogger import json as json_formatter

from corianderloft._internal.logs import context

Form = typing.Literal['json', 'human']

ROOT_LOGGER = 'corianderloft'

JSON_FIELDS = '{asctime}{levelname}{name}{request_id}{message}'
HUMAN_LINE = '{asctime} {levelname:<7} {request_id} {name}: {message}'
RENAMED = {'asctime': 'time', 'levelname': 'level', 'name': 'logger'}


class HumanFormatter(logging.Formatter):
    """Lines for people; fields of the record follow the message."""

    _PLAIN = frozenset(
        vars(logging.makeLogRecord({})).keys()
        | {'message', 'asctime', 'request_id'}
    )

    def __init__(self) -> None:
        super().__init__(HUMAN_LINE, style='{')

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, and the fields as ``name=value``."""
        line = super().format(record)
        fields = (
            f'{name}={value}'
            for name, value in vars(record).items()
            if name not in self._PLAIN
        )
        return ' '.join((line, *fields))


def use_handler(
    handler: logging.Handler, level: int | str, form: Form = 'json'
) -> None:
    """Send the log of this process to a handler."""
    handler.setFormatter(_formatter(form))
    handler.addFilter(context.RequestIdFilter())
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False


def _formatter(form: Form) -> logging.Formatter:
    if form == 'human':
        return HumanFormatter()
    return json_formatter.JsonFormatter(
        JSON_FIELDS, style='{', rename_fields=RENAMED
    )
