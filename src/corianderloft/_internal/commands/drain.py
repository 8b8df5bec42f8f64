"""Commands ``drain`` and ``undrain`` of entry hosts."""

from corianderloft._internal.cli import operator_api
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry


@registry.COMMANDS.register('drain')
def drain(
    host: str, hold: bool = False, format: str = output.TABLE
) -> output.Outcome:
    """Remove a host from address responses; its requests run to their end.

    Parameters
    ----------
    host : str
        ``IP:PORT`` of the operators' port of the host.
    hold : bool
        Keep the process running once nothing is in flight.
    format : str
        ``table`` or ``json``.
    """
    path = '/v1/drain?hold=true' if hold else '/v1/drain'
    return operator_api.call('POST', host, path, 'drain')


@registry.COMMANDS.register('undrain')
def undrain(host: str, format: str = output.TABLE) -> output.Outcome:
    """Return a drained host to the address responses.

    Parameters
    ----------
    host : str
        ``IP:PORT`` of the operators' port of the host.
    format : str
        ``table`` or ``json``.
    """
    return operator_api.call('POST', host, '/v1/undrain', 'undrain')
