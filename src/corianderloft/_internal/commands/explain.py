"""Command ``explain``: what happened to one request."""

import urllib.parse

from corianderloft._internal.cli import operators_port
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry


@registry.COMMANDS.register('explain')
def explain(
    request_id: str, host: str, format: str = output.TABLE
) -> output.Outcome:
    """Show class, queue, engines, attempts and refusal of a request.

    Parameters
    ----------
    request_id : str
        Id that the answer carried in ``X-Request-Id``.
    host : str
        ``IP:PORT`` of the operators' port of the host that took it.
    format : str
        ``table`` or ``json``.
    """
    quoted = urllib.parse.quote(str(request_id), safe='')
    path = f'/v1/requests/{quoted}'
    return operators_port.show('GET', host, path, f'request {request_id}')
