"""Finds the lines of log files that explain what happened to a request."""

import collections.abc
import dataclasses
import datetime
import typing

import orjson

CONTEXT_TIME = 10.0
"""Time before the first line of a request from which other lines of its host
are shown, in seconds: the longest time that keys and leases outlive a fault,
twice over."""

OF_HOST = frozenset(
    {
        'store lost',
        'store regained',
        'declarations in force',
        'stopping',
        'started',
        'settings reloaded',
        'watch ended; reading the store again',
    }
)
"""Lines of a host that explain refusals whoever asked."""

TIME_FORM = '%Y-%m-%d %H:%M:%S,%f'
"""Form of the times, as `logging` writes them."""

_OWN_FIELDS = frozenset({'time', 'level', 'logger', 'message', 'request_id'})

Fields = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of a host's log.

    Attributes
    ----------
    source : str
        File that it stands in.
    time : datetime
        When it was written, by the clock of that host.
    message : str
        What happened.
    request_id : str
        Request that it is about, or empty.
    fields : dict
        What decided it.
    """

    source: str
    time: datetime.datetime
    message: str
    request_id: str
    fields: Fields


@dataclasses.dataclass(frozen=True)
class Unreadable:
    """A line that is no log line.

    Attributes
    ----------
    source : str
        File that it stands in.
    number : int
        Number of the line, from 1.
    """

    source: str
    number: int


def parse(source: str, number: int, raw: bytes) -> Line | Unreadable:
    """Return one line of a log file.

    Parameters
    ----------
    source : str
        Name of the file.
    number : int
        Number of the line, from 1.
    raw : bytes
        The line.
    """
    try:
        data = orjson.loads(raw)
        return Line(
            source,
            datetime.datetime.strptime(data['time'], TIME_FORM),
            str(data['message']),
            str(data.get('request_id') or ''),
            {k: v for k, v in data.items() if k not in _OWN_FIELDS},
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return Unreadable(source, number)


def way(lines: collections.abc.Iterable[Line], request_id: str) -> list[Line]:
    """Return what explains a request, in the order of time.

    That is each line about it, and from the same hosts what changed in
    the backend servers that it was sent to, and in the host itself, from
    shortly before its first line until its last.
    """
    every = sorted(lines, key=lambda line: line.time)
    own = [line for line in every if line.request_id == request_id]
    if not own:
        return []
    since = own[0].time - datetime.timedelta(seconds=CONTEXT_TIME)
    until = own[-1].time
    sources = {line.source for line in own}
    servers = {str(line.fields.get('engine') or '') for line in own} - {''}

    def explains(line: Line) -> bool:
        if line.request_id == request_id:
            return True
        if line.source not in sources or not since <= line.time <= until:
            return False
        return line.message in OF_HOST or _is_about(line, servers)

    return [line for line in every if explains(line)]


def _is_about(line: Line, servers: set[str]) -> bool:
    """Return whether a line tells of a change of one of the servers."""
    if line.request_id:
        return False
    if line.fields.get('engine') in servers:
        return True
    key = str(line.fields.get('key') or '')
    return key.rpartition('/')[2] in servers
