"""Guarantees checked against observations of callers and servers."""

import collections
import re

NOT_RUN = (408, 421, 429, 503)
STREAMS = ('/chat/', '/quote/')
SLACK_S = 1.0  # tolerance for a busy machine
TOKEN = re.compile(rb'data: token (\d+)\n\n')


def violations(
    records, sent_ids, executions, key_changes, drains, pauses, bounds
):
    """Return one line for each violated guarantee.

    Parameters
    ----------
    records : list of RequestRecord
        Finished requests, as seen by callers.
    sent_ids : set of str
        Ids of all requests that were sent.
    executions : list of (ExecutedRequest, str, float)
        Requests that ran, with engine id and time.
    key_changes : list of (float, set of str)
        Times of key changes and the keys valid from then on.
    drains : list of (str, float, float)
        Draining servers, with start and end of each drain.
    pauses : dict
        Start and end of the pauses of each host.
    bounds : dict
        Bounds of the deployment, as in the settings of the hosts.
    """
    revocation_time_s = bounds['revoke_ms'] / 1000
    drain_time_s = bounds['drain_ms'] / 1000
    by_id = collections.defaultdict(list)
    for seen, engine, at in executions:
        by_id[seen.headers.get('corianderloft-attempt-id')].append(
            (seen, engine, at)
        )
    lines = []
    for record in records:
        ran = by_id.get(record.request_id, [])
        lines += _check_request(record, ran)
        lines += _check_answered(record, pauses[record.host])
        lines += _check_keys(record, ran, key_changes, revocation_time_s)
    lines += [
        f'{name}: executed but never sent by a caller'
        for name in by_id.keys() - sent_ids
    ]
    return [*lines, *_check_drains(executions, drains, drain_time_s)]


def _check_request(record, ran):
    repeatable = record.path in ('/look/', '/quote/')
    if len(ran) > 1 and not repeatable:
        yield f'{record.request_id}: ran {len(ran)} times'
    if record.status in NOT_RUN and ran and not repeatable:
        yield (f'{record.request_id}: answered {record.status}, but it ran')
    if record.status in (401, 404):
        yield from _check_refusal(record)
    if record.status == 200 and record.complete:
        yield from _check_answer(record, ran)


def _check_answered(record, pauses):
    """Yield requests that got no final answer from a running host.

    Requests to paused hosts are exempt: with seed 6, a host that was paused
    for 4 s read nothing of the request.
    """
    until = record.sent_at + record.took
    paused = any(
        since < until and end > record.sent_at for since, end in pauses
    )
    if record.gave_up and not paused:
        yield (
            f'{record.request_id}: no final answer in {record.took:.1f} s '
            f'from {record.host} (process {record.process}), '
            f'sent at {record.sent_at:.2f}; pauses {pauses}'
        )


def _check_refusal(record):
    if record.status == 404:
        yield f'{record.request_id}: answered 404, route not found'


def _check_answer(record, ran):
    engines = [engine for _, engine, _ in ran]
    if record.signature.removeprefix('signed-by-') not in engines:
        yield (
            f'{record.request_id}: signed by {record.signature!r}, '
            f'ran {engines}'
        )
    if record.path not in STREAMS or record.body.startswith(b'answer of '):
        # Servers in a faulty mode answer streaming requests without a stream.
        if record.body != f'answer of {record.signature[10:]}'.encode():
            yield f'{record.request_id}: body {record.body!r}'
        return
    numbers = [int(number) for number in TOKEN.findall(record.body)]
    if numbers != list(range(len(numbers))) or len(numbers) != 4:
        yield f'{record.request_id}: events {numbers}'


def _check_keys(record, ran, key_changes, revocation_time_s):
    times = [since for since, _ in key_changes] + [float('inf')]
    valid = [
        n for n, (_, keys) in enumerate(key_changes) if record.key in keys
    ]
    if not ran or not valid:
        return
    late = record.sent_at - times[valid[-1] + 1]
    if late > revocation_time_s + SLACK_S:
        yield (
            f'{record.request_id}: ran {late:.1f} s after '
            'its key was removed'
        )


def _check_drains(executions, drains, drain_time_s):
    for seen, engine, at in executions:
        for name, since, until in drains:
            if engine == name and since + drain_time_s + SLACK_S < at < until:
                request_id = seen.headers.get('corianderloft-attempt-id')
                yield f'{request_id}: sent to {name} after its drain time'
