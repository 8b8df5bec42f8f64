"""Command ``status``: hosts, services, engines and queues."""

from corianderloft._internal.cli import operators_port
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
    return operators_port.show('GET', host, '/v1/status', 'status')
