"""Tests of estimates of work."""

import dataclasses

from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import lengths as lengths_module
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from tests.lib import decisions as lib


async def test_estimate_follows_the_workspace_more_than_the_class() -> None:
    lengths = lengths_module.Lengths()
    for _ in range(20):
        lengths.learn(lib.ticket(workspace='brief'), 10)
        lengths.learn(lib.ticket(workspace='wordy', max_tokens=900), 800)
    assert lengths.answer(lib.ticket(workspace='brief')) < 150
    wordy = lib.ticket(workspace='wordy', max_tokens=900)
    assert lengths.answer(wordy) > 600
    assert lengths.answer(lib.ticket(workspace='wordy', max_tokens=50)) == 50


async def test_job_that_runs_on_is_lowered_inside_its_tier_only() -> None:
    dispatcher = lib.dispatcher(long_cost=100.0)
    grant = await lib.granted(dispatcher, lib.ticket(tier=1))
    seen = []
    for _ in range(200):
        grant.progress(10)
        seen.append(grant.priority)
    lower = await lib.granted(dispatcher, lib.ticket(tier=2))
    assert seen == sorted(seen)
    assert seen[0] < seen[-1] < lower.priority


async def test_calls_of_plain_services_are_short() -> None:
    dispatcher = lib.dispatcher()
    plain = dataclasses.replace(lib.template(), kind=states.ServiceKind.PLAIN)
    dispatcher.use_catalog(catalog.Catalog(ids.Revision(2), (plain,)))
    dispatcher.use_backends([lib.backend(0)])
    grant = await lib.granted(dispatcher, lib.ticket(max_tokens=4096))
    assert not grant.waiter.lane.long
    grant.close(interface.AttemptEnd.COMPLETE)
