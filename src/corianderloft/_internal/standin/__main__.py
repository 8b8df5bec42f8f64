"""Runs one stand-in as a process: ``kv``, ``engine`` or ``service``.

The first line on standard output is a JSON object with the bound port.
"""

import functools
import sys
import typing

import fire

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.standin import process
from corianderloft._internal.utils import checking


def main(name: str, **options: typing.Any) -> None:
    """Validate the options of a stand-in and serve it until interrupted."""
    settings = checking.check(process.KINDS[name].settings, options, name)
    if isinstance(settings, tuple):
        print(*settings, sep='\n', file=sys.stderr)
        sys.exit(exit_codes.ExitCode.USAGE.value)
    process.run(name, settings)


if __name__ == '__main__':
    fire.Fire({kind: functools.partial(main, kind) for kind in process.KINDS})
