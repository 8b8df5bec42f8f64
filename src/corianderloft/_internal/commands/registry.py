"""Registry of commands."""

import collections.abc

from corianderloft._internal.cli import output
from corianderloft._internal import kernel

COMMANDS: kernel.Registry[collections.abc.Callable[..., output.Outcome]] = (
    kernel.Registry('command')
)
"""Commands by name; in a two-word name, the first word is a group."""
