"""What must hold, from what callers and backend servers saw."""

import collections
import re

NOT_RUN = (408, 421, 429, 503)
STREAMS = ('/chat/', '/quote/')
SLACK = 1.0  # s, for a busy machine
TOKEN = re.compile(rb'data: token (\d+)\n\n')


def broken(noted, known, runs, key_changes, drains, pauses, bounds):
    """Return a line for each promise that was broken.

    Parameters
    ----------
    noted : list of Noted
        What callers saw of the requests that ended.
    known : set of str
        Ids of all requests that were sent.
    runs : list of (Seen, str, float)
        Requests that ran, with server and time.
    key_changes : list of (float, set of str)
        When which keys came in force.
    drains : list of (str, float, float)
        Servers that were leaving, from and until when.
    pauses : dict
        When each host was paused, from and until.
    bounds : dict
        Bounds of the deployment, as in the settings of the hosts.
    """
    key_life = bounds['revoke_ms'] / 1000
    drain_time = bounds['drain_ms'] / 1000
    by_id = collections.defaultdict(list)
    for seen, engine, at in runs:
        by_id[seen.headers.get('corianderloft-attempt-id')].append(
            (seen, engine, at)
        )
    found = []
    for one in noted:
        ran = by_id.get(one.request_id, [])
        found += _of_request(one, ran)
        found += _of_patience(one, pauses[one.host])
        found += _of_keys(one, ran, key_changes, key_life)
    found += [f'{name}: nobody sent it' for name in by_id.keys() - known]
    return [*found, *_of_drains(runs, drains, drain_time)]


def _of_request(one, ran):
    repeatable = one.path in ('/look/', '/quote/')
    if len(ran) > 1 and not repeatable:
        yield f'{one.request_id}: ran {len(ran)} times'
    if one.status in NOT_RUN and ran and not repeatable:
        yield f'{one.request_id}: answered {one.status}, but it ran'
    if one.status in (401, 404):
        yield from _refused_wrongly(one)
    if one.status == 200 and one.whole:
        yield from _of_answer(one, ran)


def _of_patience(one, pauses):
    """Yield requests without an answer, but for those at a paused host.

    Seed 6: a host that was paused for 4 s read nothing of the request.
    """
    until = one.sent_at + one.took
    paused = any(since < until and end > one.sent_at for since, end in pauses)
    if one.gave_up and not paused:
        yield (
            f'{one.request_id}: no final answer in {one.took:.1f} s from '
            f'{one.host} (process {one.process}), sent at {one.sent_at:.2f}; '
            f'pauses {pauses}'
        )


def _refused_wrongly(one):
    if one.status == 404:
        yield f'{one.request_id}: its route was not found'


def _of_answer(one, ran):
    engines = [engine for _, engine, _ in ran]
    if one.signature.removeprefix('signed-by-') not in engines:
        yield f'{one.request_id}: signed by {one.signature!r}, ran {engines}'
    if one.path not in STREAMS or one.body.startswith(b'answer of '):
        # Servers that misbehave answer a stream like any other request.
        if one.body != f'answer of {one.signature[10:]}'.encode():
            yield f'{one.request_id}: body {one.body!r}'
        return
    numbers = [int(number) for number in TOKEN.findall(one.body)]
    if numbers != list(range(len(numbers))) or len(numbers) != 4:
        yield f'{one.request_id}: events {numbers}'


def _of_keys(one, ran, key_changes, key_life):
    times = [since for since, _ in key_changes] + [float('inf')]
    valid = [n for n, (_, keys) in enumerate(key_changes) if one.key in keys]
    if not ran or not valid:
        return
    late = one.sent_at - times[valid[-1] + 1]
    if late > key_life + SLACK:
        yield f'{one.request_id}: ran {late:.1f} s after its key was removed'


def _of_drains(runs, drains, drain_time):
    for seen, engine, at in runs:
        for name, since, until in drains:
            if engine == name and since + drain_time + SLACK < at < until:
                request_id = seen.headers.get('corianderloft-attempt-id')
                yield f'{request_id}: reached {name} while it was leaving'
