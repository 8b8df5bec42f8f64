"""Whether removals after a time without the store are taken at their word.

A host that was cut from the store alone kept servers that had left for 2.3 s
more, although all other hosts had heard of the store meanwhile.
"""

import hypothesis
from hypothesis import strategies as st
import trio

from corianderloft._internal.gateway import outages
from corianderloft._internal.models import ids
from tests.lib import gateway
from tests.lib import processes
from tests.lib import relay

OTHER = ids.HostId('h-2')
MIN_OUTAGE_S = 2.4


def after_interval(start, end, failed=True):
    """Return the record of a host that heard nothing for an interval."""
    record = outages.Outages(MIN_OUTAGE_S)
    record.note_contact(float('-inf'), 0.0, False)
    record.note_contact(start, end, failed)
    return record


def test_a_short_interval_without_the_store_holds_no_removal():
    record = after_interval(10.0, 12.3)
    assert record.hold_until() < 12.3


def test_a_long_interval_without_the_store_holds_removals():
    record = after_interval(10.0, 15.0)
    assert record.hold_until() == 15.0 + outages.REREGISTRATION_GRACE_S


def test_a_long_interval_counts_without_a_failed_call():
    record = after_interval(10.0, 15.0, failed=False)
    assert record.hold_until() > 15.0


def test_every_failure_counts_if_the_shortest_outage_is_not_known():
    record = outages.Outages(0.0)
    record.note_contact(float('-inf'), 0.0, False)
    record.note_contact(10.0, 10.1, True)
    assert record.hold_until() > 10.1


def test_a_host_that_heard_of_the_store_all_the_while_ends_the_hold():
    record = after_interval(10.0, 15.0)
    record.use_contact(OTHER, outages.Contact(16.0, 0.5), 15.5)
    assert record.hold_until() < 15.0


def test_a_host_that_was_cut_in_the_same_interval_is_no_witness():
    record = after_interval(10.0, 15.0)
    record.use_contact(OTHER, outages.Contact(0.9, 0.5), 15.5)
    assert record.hold_until() == 14.6 + outages.REREGISTRATION_GRACE_S


def test_a_host_that_has_not_yet_missed_the_store_is_no_witness():
    record = after_interval(10.0, 15.0)
    record.use_contact(OTHER, outages.Contact(16.0, 3.0), 15.5)
    assert record.hold_until() > 15.0


def test_statements_that_waited_while_the_host_stood_still_are_not_used():
    record = after_interval(10.0, 15.0)
    record.use_contact(OTHER, outages.Contact(16.0, 0.5), 15.1)
    assert record.hold_until() > 15.0


def test_entries_lost_with_a_restore_are_held_whatever_others_heard():
    record = after_interval(10.0, 15.0)
    record.note_restore(15.0)
    record.use_contact(OTHER, outages.Contact(16.0, 0.5), 15.5)
    assert record.hold_until() == 15.0 + outages.REREGISTRATION_GRACE_S


def contacts(times, away, now):
    """Play replies of the store; return the record and the last reply."""
    record, last = outages.Outages(MIN_OUTAGE_S), float('-inf')
    for at in times:
        if at <= now and not away[0] <= at <= away[1]:
            record.note_contact(last, at, False)
            last = at
    return record, last


@hypothesis.given(
    start=st.floats(5.0, 10.0),
    length=st.floats(MIN_OUTAGE_S, 8.0),
    own=st.lists(st.floats(0.0, 30.0), min_size=40, max_size=60),
    other=st.lists(st.floats(0.0, 30.0), min_size=40, max_size=60),
    delays=st.lists(st.floats(0.0, 2.0), min_size=1, max_size=8),
    cut_s=st.floats(0.0, 5.0),
    joined_at=st.floats(0.0, 14.0),
)
def test_no_host_denies_an_outage_in_which_leases_expire(
    start, length, own, other, delays, cut_s, joined_at
):
    # This host is cut some time before, and the other one may start then.
    end = start + length
    own = [at for at in own if not start - cut_s <= at <= end]
    other = [at for at in other if at >= joined_at]
    record, last = contacts(sorted(own), (start, end), 30.0)
    regained = min((at for at in own if at > end), default=None)
    hypothesis.assume(regained is not None)
    record, last = contacts(
        sorted(at for at in own if at <= regained), (start, end), 30.0
    )
    now = regained
    for delay in delays:
        now += delay
        witness, heard = contacts(sorted(other), (start, end), now)
        stated = witness.contact(heard, now)
        if stated is not None:
            record.use_contact(OTHER, stated, now)
    assert record.hold_until() >= end + outages.REREGISTRATION_GRACE_S


async def test_server_that_left_while_one_host_was_cut_gets_nothing_from_it():
    async with gateway.running(('whole', 'whole'), start=False) as system:
        left, _ = system.engines
        await system.start_host(min_outage=1.0)
        async with trio.open_nursery() as nursery:
            link = relay.TcpRelay(system.store_port)
            await nursery.start(link.run)
            await system.start_host(
                'edge-2', store_port=link.port, min_outage=1.0
            )

            async def reaches_left():
                await system.request()
                return bool(left.seen)

            await processes.wait_for(reaches_left, 'it gets requests')
            link.cut()
            await trio.sleep(0.2)
            system.store.remove(f'servers/{left.engine_id}')
            await trio.sleep(1.5)
            added = dict(gateway.ROUTES[0], name='new', path_prefix='/new/')
            document = gateway.configuration(
                2, routes=(*gateway.ROUTES, added)
            )
            system.store.put('op/config', document)
            link.restore()

            async def knows_version():
                return (await system.request(target='/new/1')).status == 200

            await processes.wait_for(knows_version, 'the store is read')
            drain_time = gateway.BOUNDS.drain_time
            await trio.sleep(drain_time - 0.5)
            count = len(left.seen)
            until = trio.current_time() + 0.7
            while trio.current_time() < until:
                assert (await system.request()).status == 200
            assert len(left.seen) == count
            nursery.cancel_scope.cancel()
