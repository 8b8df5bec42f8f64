"""Command ``explain``: what happened to one request."""

import collections.abc
import datetime
import typing
import urllib.parse

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import http_client
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry


@registry.COMMANDS.register('explain')
def explain(
    request_id: str, *hosts: str, format: str = output.TABLE
) -> output.Outcome:
    """Show class, queue, engines, attempts and refusal of a request.

    Parameters
    ----------
    request_id : str
        Id that the answer carried in ``X-Request-Id``.
    *hosts : str
        ``IP:PORT`` of the operators' port of each host that may have taken
        it; they are asked in turn.
    format : str
        ``table`` or ``json``.
    """
    if not hosts:
        return output.Failure(
            exit_codes.ExitCode.USAGE,
            "no host to ask; name the operators' ports of the hosts that"
            ' may have taken the request',
        )
    outcomes = (_ask(str(request_id), str(host)) for host in hosts)
    met = list(_until_found(outcomes))
    return met[-1]


def _until_found(
    outcomes: collections.abc.Iterable[output.Outcome],
) -> collections.abc.Iterator[output.Outcome]:
    """Yield outcomes up to the first that is a result."""
    for outcome in outcomes:
        yield outcome
        if isinstance(outcome, output.Result):
            return


def _ask(request_id: str, host: str) -> output.Outcome:
    quoted = urllib.parse.quote(request_id, safe='')
    answer = http_client.call('GET', host, f'/v1/requests/{quoted}')
    if isinstance(answer, output.Failure):
        return answer
    wrong = http_client.refused(answer, f'request {request_id}')
    if wrong is not None:
        return wrong
    tables = [
        table
        for request in answer.body['requests']
        for table in _tables(request)
    ]
    return output.Result(answer.body, tables)


def _tables(
    request: dict[str, typing.Any],
) -> collections.abc.Iterator[output.Table]:
    """Yield the fields of a request, then its attempts."""
    arrived = datetime.datetime.fromtimestamp(
        request['arrived'], datetime.timezone.utc
    )
    shown = request | {'arrived': arrived.isoformat(timespec='milliseconds')}
    rows = [
        {'field': name, 'value': value}
        for name, value in shown.items()
        if name != 'tries'
    ]
    title = f'Request {request["request_id"]}'
    yield output.Table(rows, title)
    yield output.Table(request['tries'], 'Attempts')
