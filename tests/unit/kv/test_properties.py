"""Property test of write outcomes of the etcd client under faults.

A write reported as written must have taken effect exactly once, and a write
reported as unavailable must not have taken effect. A write with an unknown
outcome may have taken effect, at most once.
"""

import enum

import hypothesis
from hypothesis import strategies
import trio

from corianderloft._internal.kv import etcd
from corianderloft._internal.kv import interface
from corianderloft._internal.models import ids
from corianderloft._internal.settings import kv as kv_settings
from corianderloft._internal import standin
from tests.lib import calls

KEY = 'counter'
EXAMPLES = 20


class Step(enum.Enum):
    """Steps of a test plan: a write or a change of the faults."""

    INCREMENT = 'add'
    LOSE_REPLY = 'lose_reply'
    REFUSE = 'refuse'
    SILENT = 'silent'
    RECOVER = 'heal'
    STALE_READS = 'old_reads'


FAULTS = {
    Step.LOSE_REPLY: {'lose_replies': 1},
    Step.REFUSE: {'outage': 'refuse'},
    Step.SILENT: {'outage': 'silent'},
    Step.RECOVER: {'outage': 'none', 'read_age': 0, 'lose_replies': 0},
    Step.STALE_READS: {'read_age': 60},
}

PLANS = strategies.lists(strategies.sampled_from(Step), max_size=12)


class Incrementer:
    """Increments a counter by compare-and-swap and counts the outcomes."""

    def __init__(self, kv: etcd.EtcdClient) -> None:
        self.kv = kv
        self.written = 0
        self.unknown = 0

    async def increment(self) -> None:
        """Read the counter and try to write the next value."""
        found = await self.kv.get(KEY)
        if not isinstance(found, interface.Found):
            return
        value = int(found.items[0].value) if found.items else 0
        revision = found.items[0].mod_revision if found.items else 0
        outcome = await self.kv.transact(
            [interface.Compare(KEY, ids.Revision(revision))],
            [interface.Put(KEY, str(value + 1).encode())],
        )
        self.written += isinstance(outcome, interface.Written)
        self.unknown += isinstance(outcome, interface.Unknown)


async def _run(plan: list[Step]) -> None:
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.serve_kv, standin.KvSettings())
        endpoint = f'http://127.0.0.1:{port}'
        kv = etcd.EtcdClient(
            kv_settings.KvSettings(endpoint=endpoint, call_timeout=0.2)
        )
        slow_client = etcd.EtcdClient(
            kv_settings.KvSettings(endpoint=endpoint, call_timeout=30)
        )
        incrementer = Incrementer(kv)
        for step in plan:
            if step is Step.INCREMENT:
                await incrementer.increment()
            else:
                await calls.set_faults(port, **FAULTS[step])
        await calls.set_faults(port, **FAULTS[Step.RECOVER])
        await _check(incrementer, slow_client)
        await kv.aclose()
        await slow_client.aclose()
        nursery.cancel_scope.cancel()


async def _check(incrementer: Incrementer, kv: etcd.EtcdClient) -> None:
    """Check that the counter matches the outcomes of the writes."""
    found = await kv.get(KEY)
    assert isinstance(found, interface.Found)
    value = int(found.items[0].value) if found.items else 0
    assert (
        incrementer.written
        <= value
        <= incrementer.written + incrementer.unknown
    )
    seen = []
    async with kv.watch(KEY, ids.Revision(1)) as changes:
        while len(seen) < value:
            event = await anext(changes)
            assert isinstance(event, interface.WatchEvent)
            assert event.item is not None
            seen.append(int(event.item.value))
    assert seen == list(range(1, value + 1))


@hypothesis.settings(max_examples=EXAMPLES)
@hypothesis.given(plan=PLANS)
def test_outcomes_match_the_writes_that_took_effect(plan: list[Step]) -> None:
    trio.run(_run, plan)
