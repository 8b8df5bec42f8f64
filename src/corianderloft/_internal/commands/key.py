"""Command ``key new``: generates a key."""

from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal import security


@registry.COMMANDS.register('key new')
def new(format: str = output.TABLE) -> output.Outcome:
    """Generate a key for a workspace or an operator, and its hash.

    Give the key to its owner and add the hash to the declaration or the
    settings; the key itself is not stored.

    Parameters
    ----------
    format : str
        ``table`` or ``json``.
    """
    key = security.new_key()
    row = {'key': key, 'key_hash': security.hash_key(key)}
    return output.Result(row, (output.Table([row]),))
