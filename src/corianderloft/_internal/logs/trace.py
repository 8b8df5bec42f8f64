"""Selects the log lines that explain what happened to a request."""

import collections.abc
import dataclasses
import datetime
import typing

import orjson

CONTEXT_S = 10.0
"""Time before the first line of a request from which other lines of its host
are included, in seconds: twice the longest time that keys and leases outlive
a fault."""

HOST_MESSAGES = frozenset(
    {
        'store lost',
        'store regained',
        'declarations in force',
        'stopping',
        'started',
        'settings reloaded',
        'watch ended; reading the store again',
        'watch lost',
    }
)
"""Messages about a host as a whole, which can explain the refusal of any
request."""

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
"""Format of timestamps, as written by `logging`."""

_STANDARD_FIELDS = frozenset(
    {'time', 'level', 'logger', 'message', 'request_id'}
)

Fields = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Line:
    """A line of the log of a host.

    Attributes
    ----------
    source : str
        Name of the log file.
    time : datetime
        Timestamp, from the clock of that host.
    message : str
        Log message.
    request_id : str
        ID of the request that the line is about, or empty.
    fields : dict
        Additional fields of the line.
    """

    source: str
    time: datetime.datetime
    message: str
    request_id: str
    fields: Fields


@dataclasses.dataclass(frozen=True)
class Unreadable:
    """A line that could not be parsed.

    Attributes
    ----------
    source : str
        Name of the log file.
    number : int
        Line number, starting at 1.
    """

    source: str
    number: int


def parse(source: str, number: int, raw: bytes) -> Line | Unreadable:
    """Parse one line of a log file.

    Parameters
    ----------
    source : str
        Name of the log file.
    number : int
        Line number, starting at 1.
    raw : bytes
        Content of the line.
    """
    try:
        data = orjson.loads(raw)
        return Line(
            source,
            datetime.datetime.strptime(data['time'], TIME_FORMAT),
            str(data['message']),
            str(data.get('request_id') or ''),
            {k: v for k, v in data.items() if k not in _STANDARD_FIELDS},
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return Unreadable(source, number)


def select_lines(
    lines: collections.abc.Iterable[Line], request_id: str
) -> list[Line]:
    """Return the lines that explain a request, sorted by time.

    These are all lines about the request. In addition, from the same hosts
    and from `CONTEXT_S` seconds before its first line until its last, they
    are the lines about changes of the host and of the backend servers that
    the request was sent to.
    """
    all_lines = sorted(lines, key=lambda line: line.time)
    own_lines = [line for line in all_lines if line.request_id == request_id]
    if not own_lines:
        return []
    since = own_lines[0].time - datetime.timedelta(seconds=CONTEXT_S)
    until = own_lines[-1].time
    sources = {line.source for line in own_lines}
    servers = {str(line.fields.get('engine') or '') for line in own_lines} - {
        ''
    }

    def explains(line: Line) -> bool:
        if line.request_id == request_id:
            return True
        if line.source not in sources or not since <= line.time <= until:
            return False
        return line.message in HOST_MESSAGES or _is_about(line, servers)

    return [line for line in all_lines if explains(line)]


def _is_about(line: Line, servers: set[str]) -> bool:
    """Return whether a line is about a change of one of the servers."""
    if line.request_id:
        return False
    if line.fields.get('engine') in servers:
        return True
    key = str(line.fields.get('key') or '')
    return key.rpartition('/')[2] in servers
