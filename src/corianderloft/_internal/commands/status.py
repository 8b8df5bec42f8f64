"""Command ``status``: shows hosts, services, engines and queues."""

from corianderloft._internal.cli import operator_api
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry


@registry.COMMANDS.register('status')
def status(host: str, format: str = output.TABLE) -> output.Outcome:
    """Show hosts, their revisions, services, engines, queues and drains.

    Parameters
    ----------
    host : str
        ``IP:PORT`` of the operators' port of any entry host.
    format : str
        ``table`` or ``json``.
    """
    return operator_api.call('GET', host, '/v1/status', 'status')
