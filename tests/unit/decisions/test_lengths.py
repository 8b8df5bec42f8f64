"""Tests of answer length estimates and of what depends on them."""

import dataclasses

from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import lengths as lengths_module
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from tests.lib import decisions as lib


async def test_workspace_history_outweighs_class_history() -> None:
    lengths = lengths_module.LengthEstimator()
    for _ in range(20):
        lengths.record_answer(lib.ticket(workspace='brief'), 10)
        lengths.record_answer(
            lib.ticket(workspace='wordy', max_tokens=900), 800
        )
    assert lengths.expected_answer(lib.ticket(workspace='brief')) < 150
    wordy = lib.ticket(workspace='wordy', max_tokens=900)
    assert lengths.expected_answer(wordy) > 600
    assert (
        lengths.expected_answer(lib.ticket(workspace='wordy', max_tokens=50))
        == 50
    )


async def test_long_request_is_lowered_within_its_tier_only() -> None:
    dispatcher = lib.dispatcher(long_cost=100.0)
    grant = await lib.granted(dispatcher, lib.ticket(tier=1))
    priorities = []
    for _ in range(200):
        grant.progress(10)
        priorities.append(grant.priority)
    lower = await lib.granted(dispatcher, lib.ticket(tier=2))
    assert priorities == sorted(priorities)
    assert priorities[0] < priorities[-1] < lower.priority


async def test_plain_service_calls_are_short() -> None:
    dispatcher = lib.dispatcher()
    plain = dataclasses.replace(lib.template(), kind=states.ServiceKind.PLAIN)
    dispatcher.use_catalog(catalog.Catalog(ids.Revision(2), (plain,)))
    dispatcher.use_backends([lib.backend(0)])
    grant = await lib.granted(dispatcher, lib.ticket(max_tokens=4096))
    assert not grant.waiter.lane.long
    grant.close(interface.AttemptEnd.COMPLETE)
