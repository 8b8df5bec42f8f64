"""Evidence on prompt parts that crash backend servers.

Guards against sound parts that are held responsible for the crashes of
others, and against harmful ones that hosts do not agree on.
"""

import hypothesis
from hypothesis import strategies as st

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.placement import crash_evidence

LATER_S = crash_evidence.SETTLE_S + 0.1


def prompt(*parts):
    """Return a prompt with shared parts and one of its own."""
    return instances.Prompt(
        1000,
        10,
        tuple(
            instances.PromptPart(ids.PromptPartId(part), 100)
            for part in (*parts, 'own')
        ),
    )


def server(number):
    return ids.EngineId(f'e-{number}'), 1


def crash(evidence, count, *parts, first=0, now=1.0):
    for number in range(first, first + count):
        evidence.record_crash(prompt(*parts), server(number), now)


def refused(evidence, quarantined, now):
    """Return the part for which a request is refused; None if it is not."""
    found = evidence.quarantine(quarantined, now)
    return found.part_id if found and found.settled_at <= now else None


def test_a_part_that_crashed_three_servers_is_refused_after_a_moment():
    evidence = crash_evidence.CrashEvidence()
    crash(evidence, 2, 'bad')
    assert refused(evidence, prompt('bad'), 9.0) is None
    crash(evidence, 1, 'bad', first=2, now=10.0)
    held = evidence.quarantine(prompt('bad'), 10.1)
    assert held.settled_at > 10.1
    assert refused(evidence, prompt('bad'), 10.0 + LATER_S) == 'bad'
    assert refused(evidence, prompt('good'), 10.0 + LATER_S) is None


def test_one_server_that_breaks_many_requests_is_one_crash():
    evidence = crash_evidence.CrashEvidence()
    for _ in range(9):
        evidence.record_crash(prompt('part'), server(1), 1.0)
    assert refused(evidence, prompt('part'), 5.0) is None


def test_the_part_of_the_request_alone_is_never_held_responsible():
    evidence = crash_evidence.CrashEvidence()
    crash(evidence, 9)
    assert refused(evidence, prompt(), 5.0) is None


def test_a_complete_response_clears_its_parts():
    evidence = crash_evidence.CrashEvidence()
    crash(evidence, 5, 'shared')
    evidence.record_complete(prompt('shared'), 2.0)
    assert refused(evidence, prompt('shared'), 3.0) is None


def test_a_part_with_recent_responses_is_not_suspected():
    evidence = crash_evidence.CrashEvidence()
    evidence.record_complete(prompt('route'), 1.0)
    crash(evidence, 3, 'route', 'bad', now=2.0)
    assert refused(evidence, prompt('route'), 4.0) is None
    assert refused(evidence, prompt('x', 'bad'), 4.0) == 'bad'


def test_parts_that_always_crash_together_are_refused_only_together():
    evidence = crash_evidence.CrashEvidence()
    crash(evidence, 3, 'session', 'bad')
    together = refused(evidence, prompt('session', 'bad'), 3.0)
    assert together in ('session', 'bad')
    assert refused(evidence, prompt('session'), 3.0) is None
    crash(evidence, 1, 'other', 'bad', first=3, now=4.0)
    assert refused(evidence, prompt('next', 'bad'), 5.0) == 'bad'
    assert refused(evidence, prompt('session'), 5.0) is None


def test_a_quarantine_ends_and_one_more_crash_renews_it():
    evidence = crash_evidence.CrashEvidence()
    crash(evidence, 3, 'bad')
    end = 1.0 + 3 * crash_evidence.QUARANTINE_S_PER_CRASH
    assert refused(evidence, prompt('bad'), end - 1.0) == 'bad'
    assert evidence.quarantine(prompt('bad'), end - 1.0).until == end
    assert refused(evidence, prompt('bad'), end) is None
    crash(evidence, 1, 'bad', first=3, now=end + 5.0)
    assert refused(evidence, prompt('bad'), end + 5.0) == 'bad'
    renewed = end + 5.0 + 4 * crash_evidence.QUARANTINE_S_PER_CRASH
    assert refused(evidence, prompt('bad'), renewed - 1.0) == 'bad'


def test_a_request_that_crashed_two_servers_is_not_sent_again():
    evidence = crash_evidence.CrashEvidence()
    crash(evidence, 1, 'bad')
    assert not evidence.stops_retries(prompt('bad'))
    crash(evidence, 1, 'bad', first=1)
    assert evidence.stops_retries(prompt('bad'))
    assert not evidence.stops_retries(prompt('good'))
    assert not evidence.stops_retries(None)


def test_memory_is_bounded_and_harmful_parts_are_kept():
    evidence = crash_evidence.CrashEvidence()
    crash(evidence, 3, 'bad')
    for number in range(crash_evidence.MAX_RECORDS + 50):
        crash(evidence, 1, f'p-{number}')
    assert len(evidence._records) == crash_evidence.MAX_RECORDS
    assert refused(evidence, prompt('bad'), 3.0) == 'bad'


PARTS = st.sampled_from(['a', 'b', 'c'])
EVENTS = st.lists(
    st.tuples(PARTS, st.integers(0, 5), st.booleans()), max_size=12
)


@hypothesis.given(EVENTS, EVENTS, st.randoms())
def test_hosts_with_the_same_reports_agree_in_any_order(first, second, rng):
    reports = []
    for events in (first, second):
        host = crash_evidence.CrashEvidence()
        host.set_change_listener(
            lambda part, host=host: reports.append(host.report(part))
        )
        for part, number, complete in events:
            if complete:
                host.record_complete(prompt(part), -100.0)
            else:
                host.record_crash(prompt(part), server(number), 1.0)
    hosts = []
    for _ in range(2):
        host = crash_evidence.CrashEvidence()
        rng.shuffle(reports)
        for report in reports + reports[:3]:
            host.merge(report, 2.0)
        hosts.append(host)
    for part in 'abc':
        assert hosts[0].report(part) == hosts[1].report(part)
        found = [refused(host, prompt(part), 4.0) for host in hosts]
        assert found[0] == found[1]
