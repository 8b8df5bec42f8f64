"""Command ``address``: queries a host for entry host addresses."""

import urllib.parse

from corianderloft._internal.cli import http_client
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry


@registry.COMMANDS.register('address')
def address(
    host: str, failure_domain: str = '', format: str = output.TABLE
) -> output.Outcome:
    """Query an entry host for the addresses that a caller should use.

    Parameters
    ----------
    host : str
        ``IP:PORT`` of the callers' port of any entry host.
    failure_domain : str
        Failure domain of the caller.
    format : str
        ``table`` or ``json``.
    """
    query = urllib.parse.urlencode({'failure_domain': failure_domain})
    path = '/v1/addresses' + (f'?{query}' if failure_domain else '')
    response = http_client.call('GET', str(host), path)
    if isinstance(response, output.Failure):
        return response
    failure = http_client.error_failure(response, 'addresses')
    if failure is not None:
        return failure
    rows = response.body['addresses']
    return output.Result(
        response.body,
        (output.Table(rows, 'Addresses, best first'),),
        f'Good for {response.body["ttl_s"]:g} s.',
    )
