"""Evidence on prompt parts that crash backend servers.

Guards against sound parts that are held responsible for the crashes of
others, and against harmful ones that hosts do not agree on.
"""

import hypothesis
from hypothesis import strategies as st

from corianderloft._internal.models import crashes
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.placement import crash_evidence

LATER_S = crash_evidence.SETTLE_S + 0.1


def prompt(*parts):
    """Return the suspects of a prompt with shared parts and its own one."""
    return crashes.suspects_of(
        instances.Prompt(
            1000,
            10,
            tuple(
                instances.PromptPart(ids.PromptPartId(part), 100)
                for part in (*parts, 'own')
            ),
        )
    )


def server(number):
    return ids.EngineId(f'e-{number}'), 1


def crash(evidence, count, *parts, first=0, now=1.0):
    for number in range(first, first + count):
        evidence.record_crash(prompt(*parts), server(number), now)


def refused(evidence, quarantined, now):
    """Return the part for which a request is refused; None if it is not."""
    found = evidence.quarantine(quarantined, now)
    return found.suspect_id if found and found.settled_at <= now else None


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
    assert not evidence.stops_retries(crashes.Suspects())


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


def request(name, *parts):
    """Return the suspects of a request with shared parts."""
    return crashes.Suspects(parts, ids.SuspectId(f'request:{name}'))


def crash_request(evidence, numbers, suspects, now=1.0, **options):
    for number in numbers:
        evidence.record_crash(suspects, server(number), now, **options)


def test_two_requests_with_the_same_crashes_are_both_refused():
    evidence = crash_evidence.CrashEvidence()
    for name in ('a', 'b'):
        crash_request(evidence, range(3), request(name))
    for name in ('a', 'b'):
        assert refused(evidence, request(name), 3.0) == f'request:{name}'
    assert refused(evidence, request('c'), 3.0) is None


def test_a_request_that_crashes_servers_does_not_implicate_its_parts():
    evidence = crash_evidence.CrashEvidence()
    crash_request(evidence, range(3), request('a', 'route'))
    assert refused(evidence, request('a', 'route'), 3.0) == 'request:a'
    assert refused(evidence, request('b', 'route'), 3.0) is None
    assert refused(evidence, prompt('route'), 3.0) is None


def test_requests_with_a_harmful_part_are_refused_although_each_is_new():
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        crash_request(evidence, [number], request(number, 'route', 'bad'))
        evidence.record_complete(request(f's-{number}', 'route'), 1.0)
    assert refused(evidence, request('new', 'route', 'bad'), 3.0) == 'bad'


def test_a_crash_after_content_counts_against_the_request_alone():
    evidence = crash_evidence.CrashEvidence()
    crash_request(evidence, range(3), request('a', 'bad'), responded=True)
    assert refused(evidence, request('a', 'bad'), 3.0) == 'request:a'
    assert refused(evidence, request('b', 'bad'), 3.0) is None
    assert evidence.report(ids.SuspectId('bad')) is None


def test_a_request_that_was_complete_lately_is_not_suspected():
    evidence = crash_evidence.CrashEvidence()
    evidence.record_complete(request('poll'), 1.0)
    crash_request(evidence, range(9), request('poll'), now=3.0)
    assert refused(evidence, request('poll'), 5.0) is None


def test_complete_requests_do_not_displace_complete_parts():
    evidence = crash_evidence.CrashEvidence()
    evidence.record_complete(prompt('shared'), 1.0)
    for number in range(crash_evidence.MAX_COMPLETE + 9):
        evidence.record_complete(request(number), 1.0)
    crash(evidence, 9, 'shared', now=2.0)
    assert refused(evidence, prompt('shared'), 4.0) is None


def test_the_requests_of_many_crashes_do_not_displace_a_repeated_one():
    evidence = crash_evidence.CrashEvidence()
    for number in range(2):
        crash_request(evidence, [number], request('bad'))
        for other in range(crash_evidence.MAX_RECORDS - 1):
            crash_request(evidence, [number], request(f'{number}-{other}'))
    assert len(evidence.report(ids.SuspectId('request:bad')).crashed) == 2
    assert evidence.suspects_to_repeat(2.0)[-1] == 'request:bad'


fields = st.tuples(
    st.sampled_from(['GET', 'POST']), st.binary(), st.text(), st.binary()
)


@hypothesis.given(fields, fields)
def test_only_the_same_request_has_the_same_hash(first, second):
    same = crashes.request_suspect(*first) == crashes.request_suspect(*second)
    assert same == (first == second)


def test_a_part_is_never_taken_for_a_request():
    evidence = crash_evidence.CrashEvidence()
    hashed = crashes.request_suspect('GET', b'/', 'aswan', b'')
    crash(evidence, 9, hashed)
    assert refused(evidence, crashes.Suspects((), hashed), 3.0) is None
