"""Property tests of the etcd client under arbitrary faults."""

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
    """What happens next."""

    ADD = 'add'
    LOSE_REPLY = 'lose_reply'
    REFUSE = 'refuse'
    SILENT = 'silent'
    HEAL = 'heal'
    OLD_READS = 'old_reads'


FAULTS = {
    Step.LOSE_REPLY: {'lose_replies': 1},
    Step.REFUSE: {'outage': 'refuse'},
    Step.SILENT: {'outage': 'silent'},
    Step.HEAL: {'outage': 'none', 'read_age': 0, 'lose_replies': 0},
    Step.OLD_READS: {'read_age': 60},
}

PLANS = strategies.lists(strategies.sampled_from(Step), max_size=12)


class Adder:
    """Adds to a counter by compare-and-swap, and keeps the outcomes."""

    def __init__(self, kv: etcd.EtcdClient) -> None:
        self.kv = kv
        self.written = 0
        self.unknown = 0

    async def add(self) -> None:
        """Read the counter and try to write its successor."""
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
        patient = etcd.EtcdClient(
            kv_settings.KvSettings(endpoint=endpoint, call_timeout=30)
        )
        adder = Adder(kv)
        for step in plan:
            if step is Step.ADD:
                await adder.add()
            else:
                await calls.set_faults(port, **FAULTS[step])
        await calls.set_faults(port, **FAULTS[Step.HEAL])
        await _check(adder, patient)
        await kv.aclose()
        await patient.aclose()
        nursery.cancel_scope.cancel()


async def _check(adder: Adder, kv: etcd.EtcdClient) -> None:
    """Each written value counts once; a lost reply may or may not."""
    found = await kv.get(KEY)
    assert isinstance(found, interface.Found)
    value = int(found.items[0].value) if found.items else 0
    assert adder.written <= value <= adder.written + adder.unknown
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
def test_outcomes_never_lie_about_writes(plan: list[Step]) -> None:
    trio.run(_run, plan)
