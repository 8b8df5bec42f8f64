"""Command line parsing with fire.

A command is bound to its arguments first and runs only after the whole command
line has been parsed, so that an unknown option cannot run half a command.
"""

import collections.abc
import functools
import inspect
import logging
import sys
import typing

import fire
import fire.core

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal import commands

logger = logging.getLogger(__name__)

PROGRAM = 'corianderloft'

Command = collections.abc.Callable[..., output.Outcome]


class BoundCommand:
    """A command bound to its arguments but not run yet."""

    def __init__(
        self,
        run: collections.abc.Callable[[], output.Outcome],
        output_format: str,
    ) -> None:
        self._run = run
        self._format = output_format

    def __dir__(self) -> list[str]:
        return []


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run one command line.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments; those of the process by default.

    Returns
    -------
    int
        Exit code, a value of `ExitCode`.
    """
    bound = parse(sys.argv[1:] if argv is None else argv)
    return bound if isinstance(bound, int) else _run(bound)


def parse(
    argv: collections.abc.Sequence[str],
) -> BoundCommand | int:
    """Parse a command line without running its command.

    Parameters
    ----------
    argv : sequence of str
        Arguments.

    Returns
    -------
    BoundCommand or int
        The command, or an exit code if there is nothing to run because the
        command line is invalid or help was printed.
    """
    try:
        bound = fire.Fire(
            _command_tree(),
            command=list(argv),
            name=PROGRAM,
            serialize=_discard,
        )
    except fire.core.FireExit as exc:
        return int(exc.code or 0)
    if not isinstance(bound, BoundCommand):
        return _print_usage(bound)
    return bound


def _run(bound: BoundCommand) -> int:
    failure = output.unknown_format(bound._format)
    if failure is not None:
        return _print(failure, output.TABLE)
    outcome: output.Outcome | None = None
    try:
        outcome = bound._run()
    except* KeyboardInterrupt:
        # Nurseries wrap KeyboardInterrupt in an exception group.
        pass
    if outcome is None:
        return exit_codes.ExitCode.INTERRUPTED
    return _print(outcome, bound._format)


def _print(outcome: output.Outcome, output_format: str) -> int:
    stream = sys.stderr if isinstance(outcome, output.Failure) else sys.stdout
    text = output.render(outcome, output_format)
    if text:
        print(text, file=stream, flush=True)
    return int(outcome.exit_code)


def _print_usage(component: typing.Any) -> int:
    """Print the commands that may follow an incomplete command line."""
    names = ', '.join(sorted(component)) if isinstance(component, dict) else ''
    print(f'usage: {PROGRAM} COMMAND ...; commands: {names}', file=sys.stderr)
    return exit_codes.ExitCode.USAGE


def _discard(_: typing.Any) -> None:
    """Suppress the output of fire itself."""


def _command_tree() -> dict[str, typing.Any]:
    """Return all commands; two-word names are nested in groups."""
    tree: dict[str, typing.Any] = {}
    for name in commands.COMMANDS.names():
        *groups, last = name.split(' ')
        level = tree
        for group in groups:
            level = level.setdefault(group, {})
        command = commands.COMMANDS.find(name)
        if callable(command):
            level[last] = _binder(command)
    return tree


def _binder(command: Command) -> collections.abc.Callable[..., typing.Any]:
    """Return a function that binds arguments to ``command``."""

    @functools.wraps(command)
    def bind(*args: typing.Any, **kwargs: typing.Any) -> BoundCommand:
        bound = inspect.signature(command).bind(*args, **kwargs)
        output_format = str(bound.arguments.get('format', output.TABLE))
        return BoundCommand(
            functools.partial(command, *args, **kwargs), output_format
        )

    return bind
