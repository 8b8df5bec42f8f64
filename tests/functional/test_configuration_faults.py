"""Concurrent configuration changes.

Without compare-and-swap, the later of two edits of the same revision would
silently overwrite the earlier one.
"""

import collections

import trio

from corianderloft._internal.cli import exit_codes
from tests.lib import system as systems


async def test_one_of_two_concurrent_edits_gets_a_conflict() -> None:
    async with systems.running(1, 1) as system:
        codes: collections.Counter[exit_codes.ExitCode] = collections.Counter()

        async def edit(name: str, deadline: int) -> None:
            directory = system.edited_declarations(
                {'deadline_s: 30': f'deadline_s: {deadline}'}, name
            )
            applied = await system.apply(
                directory, f'--expect={system.revision}'
            )
            codes[applied.code] += 1

        async with trio.open_nursery() as nursery:
            nursery.start_soon(edit, 'first', 31)
            nursery.start_soon(edit, 'second', 32)
    assert codes == {
        exit_codes.ExitCode.OK: 1,
        exit_codes.ExitCode.CONFLICT: 1,
    }
