"""Command ``address``: asks a host which addresses to use."""

import urllib.parse

from corianderloft._internal.cli import http_client
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry


@registry.COMMANDS.register('address')
def address(
    host: str, failure_domain: str = '', format: str = output.TABLE
) -> output.Outcome:
    """Ask an entry host which addresses a caller should use.

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
    answer = http_client.call('GET', str(host), path)
    if isinstance(answer, output.Failure):
        return answer
    wrong = http_client.refused(answer, 'addresses')
    if wrong is not None:
        return wrong
    rows = answer.body['addresses']
    return output.Result(
        answer.body,
        (output.Table(rows, 'Addresses, best first'),),
        f'Good for {answer.body["ttl_s"]:g} s.',
    )
