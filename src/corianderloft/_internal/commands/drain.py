"""Commands ``drain`` and ``undrain``: take a host out, and back in."""

from corianderloft._internal.cli import operators_port
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry


@registry.COMMANDS.register('drain')
def drain(
    host: str, hold: bool = False, format: str = output.TABLE
) -> output.Outcome:
    """Take a host out of the address answers; what runs there ends there.

    Parameters
    ----------
    host : str
        ``IP:PORT`` of the operators' port of the host.
    hold : bool
        Keep the process once nothing is in flight.
    format : str
        ``table`` or ``json``.
    """
    path = '/v1/drain?hold=true' if hold else '/v1/drain'
    return operators_port.show('POST', host, path, 'drain')


@registry.COMMANDS.register('undrain')
def undrain(host: str, format: str = output.TABLE) -> output.Outcome:
    """Put a drained host back into the address answers.

    Parameters
    ----------
    host : str
        ``IP:PORT`` of the operators' port of the host.
    format : str
        ``table`` or ``json``.
    """
    return operators_port.show('POST', host, '/v1/undrain', 'undrain')
