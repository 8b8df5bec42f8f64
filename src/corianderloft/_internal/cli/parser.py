"""Parsing of the command line by fire.

Commands are bound to their arguments first and run only once the whole line
is understood: an unknown option never runs half a command.
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
    """A command with its arguments, not run yet."""

    def __init__(
        self, run: collections.abc.Callable[[], output.Outcome], form: str
    ) -> None:
        self._run = run
        self._form = form

    def __dir__(self) -> list[str]:
        return []


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run one command line.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments; those of the process unless given.

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
    """Return the command of a line with its arguments, not run yet.

    Parameters
    ----------
    argv : sequence of str
        Arguments.

    Returns
    -------
    BoundCommand or int
        An exit code when there is nothing to run: the line was not
        understood, or help was printed.
    """
    try:
        bound = fire.Fire(
            _command_tree(),
            command=list(argv),
            name=PROGRAM,
            serialize=_print_nothing,
        )
    except fire.core.FireExit as exc:
        return int(exc.code or 0)
    if not isinstance(bound, BoundCommand):
        return _incomplete(bound)
    return bound


def _run(bound: BoundCommand) -> int:
    wrong = output.unknown_format(bound._form)
    if wrong is not None:
        return _print(wrong, output.TABLE)
    outcome: output.Outcome | None = None
    try:
        outcome = bound._run()
    except* KeyboardInterrupt:
        # Nurseries raise it within a group.
        pass
    if outcome is None:
        return exit_codes.ExitCode.INTERRUPTED
    return _print(outcome, bound._form)


def _print(outcome: output.Outcome, form: str) -> int:
    stream = sys.stderr if isinstance(outcome, output.Failure) else sys.stdout
    text = output.render(outcome, form)
    if text:
        print(text, file=stream, flush=True)
    return int(outcome.exit_code)


def _incomplete(found: typing.Any) -> int:
    """Say which words may follow an unfinished command line."""
    names = ', '.join(sorted(found)) if isinstance(found, dict) else ''
    print(f'usage: {PROGRAM} COMMAND ...; commands: {names}', file=sys.stderr)
    return exit_codes.ExitCode.USAGE


def _print_nothing(_: typing.Any) -> None:
    """Keep fire from printing what it found."""


def _command_tree() -> dict[str, typing.Any]:
    """Return all commands, those of two words one level down."""
    tree: dict[str, typing.Any] = {}
    for name in commands.COMMANDS.names():
        *groups, last = name.split(' ')
        level = tree
        for group in groups:
            level = level.setdefault(group, {})
        command = commands.COMMANDS.find(name)
        if callable(command):
            level[last] = _deferred(command)
    return tree


def _deferred(command: Command) -> collections.abc.Callable[..., typing.Any]:
    """Return a function that binds ``command`` instead of running it."""

    @functools.wraps(command)
    def bind(*args: typing.Any, **kwargs: typing.Any) -> BoundCommand:
        given = inspect.signature(command).bind(*args, **kwargs)
        form = str(given.arguments.get('format', output.TABLE))
        return BoundCommand(functools.partial(command, *args, **kwargs), form)

    return bind
