"""Command ``explain``: shows what happened to one request."""

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
        Value of the ``X-Request-Id`` header of the response.
    *hosts : str
        ``IP:PORT`` of the operators' port of each host that may have
        received the request; queried in this order.
    format : str
        ``table`` or ``json``.
    """
    if not hosts:
        return output.Failure(
            exit_codes.ExitCode.USAGE,
            "no host to ask; name the operators' ports of the hosts that"
            ' may have taken the request',
        )
    outcomes = (_fetch(str(request_id), str(host)) for host in hosts)
    seen = list(_until_found(outcomes))
    return seen[-1]


def _until_found(
    outcomes: collections.abc.Iterable[output.Outcome],
) -> collections.abc.Iterator[output.Outcome]:
    """Yield outcomes up to and including the first result."""
    for outcome in outcomes:
        yield outcome
        if isinstance(outcome, output.Result):
            return


def _fetch(request_id: str, host: str) -> output.Outcome:
    quoted = urllib.parse.quote(request_id, safe='')
    response = http_client.call('GET', host, f'/v1/requests/{quoted}')
    if isinstance(response, output.Failure):
        return response
    failure = http_client.error_failure(response, f'request {request_id}')
    if failure is not None:
        return failure
    tables = [
        table
        for request in response.body['requests']
        for table in _tables(request)
    ]
    return output.Result(response.body, tables)


def _tables(
    request: dict[str, typing.Any],
) -> collections.abc.Iterator[output.Table]:
    """Yield a table of the fields of a request and one of its attempts."""
    arrived = datetime.datetime.fromtimestamp(
        request['arrived'], datetime.timezone.utc
    )
    fields = request | {'arrived': arrived.isoformat(timespec='milliseconds')}
    rows = [
        {'field': name, 'value': value}
        for name, value in fields.items()
        if name != 'tries'
    ]
    title = f'Request {request["request_id"]}'
    yield output.Table(rows, title)
    yield output.Table(request['tries'], 'Attempts')
