"""Rows of the table: each role's cost at the design size."""

import collections.abc
import itertools

from bench.capacity import design
from bench.capacity import kv_rows
from bench.capacity import measurements
from bench.capacity import quantities
from corianderloft._internal.settings import backends

POLLS_PER_SECOND = backends.BackendSettings().polls_per_second
SIZE = design.DesignSize()
DAY = 86_400.0  # s
MICROSECOND = 1e-6  # s
PROBES_PER_SECOND = 1.0
MESSAGES_PER_PROBE = 2.0  # a probe and its answer
PROBE_NEWS = 3  # hosts of which a probe carries news
HEADER_BYTES = 28.0  # IP and UDP
SHARDS = 4096
CHANGES_IN_A_MINUTE = 1_000
TOKEN_GAP = 0.036  # s
ADDRESS_TTL = 10.0  # s
CALLER_PROCESSES = 10_000

Slopes = measurements.Recorded


def _core(seconds: float) -> float:
    """Return a part of a core, in percent."""
    return 100.0 * seconds


CORE_BUDGET = _core(SIZE.control_core_fraction)


def all_rows(slopes: Slopes) -> tuple[quantities.Row, ...]:
    """Return all rows, role by role."""
    makers: tuple[
        collections.abc.Callable[[Slopes], tuple[quantities.Row, ...]], ...
    ] = (
        _messages,
        _memory,
        _configuration,
        _requests,
        kv_rows.all_rows,
        _callers,
    )
    rows = tuple(
        itertools.chain.from_iterable(make(slopes) for make in makers)
    )
    return rows + _totals(rows)


def _totals(rows: tuple[quantities.Row, ...]) -> tuple[quantities.Row, ...]:
    """Return what all control of one host adds up to, worst moments apart."""
    budgets = (
        ('CPU', '% of a core', CORE_BUDGET),
        ('memory', 'MB', SIZE.control_memory / 1e6),
        ('bytes', 'bytes/s', SIZE.control_bytes_per_second),
    )
    return tuple(
        quantities.Row(
            'entry host',
            f'all control: {what}',
            'sum of the rows above with this budget',
            sum(r.value for r in rows if r.budget == budget and not r.worst),
            unit,
            budget,
            '',
            quantities.Status.EXTRAPOLATED,
        )
        for what, unit, budget in budgets
    )


def _probe_cost(slopes: Slopes) -> float:
    """Return the CPU time a second that probing costs a host."""
    once = (
        slopes.slope('peer_message_encode').at(PROBE_NEWS)
        + slopes.slope('peer_message_decode').at(PROBE_NEWS)
    ) * MICROSECOND
    # A host sends its probe and answers one, and takes in as many.
    return PROBES_PER_SECOND * MESSAGES_PER_PROBE * once


def _probe_bytes(slopes: Slopes) -> float:
    size = slopes.slope('peer_message_size').at(PROBE_NEWS) + HEADER_BYTES
    return 2.0 * PROBES_PER_SECOND * MESSAGES_PER_PROBE * size


def _messages(slopes: Slopes) -> tuple[quantities.Row, ...]:
    return (
        quantities.Row(
            'entry host',
            'CPU for probes',
            '2 messages/s each way x (encode + decode)',
            _core(_probe_cost(slopes)),
            '% of a core',
            CORE_BUDGET,
            'shared/membership/detector.py',
            quantities.Status.EXTRAPOLATED,
        ),
        quantities.Row(
            'entry host',
            'bytes for reading load and cache events',
            f'{POLLS_PER_SECOND:g} polls/s x poll_size',
            POLLS_PER_SECOND * slopes.slope('poll_size').median,
            'bytes/s',
            SIZE.control_bytes_per_second,
            'entry/feeds.py',
            quantities.Status.EXTRAPOLATED,
        ),
        quantities.Row(
            'entry host',
            'bytes for probes, both ways',
            '4 messages/s x (size + headers)',
            _probe_bytes(slopes),
            'bytes/s',
            SIZE.control_bytes_per_second,
            'shared/membership/detector.py',
            quantities.Status.EXTRAPOLATED,
        ),
    )


def _memory(slopes: Slopes) -> tuple[quantities.Row, ...]:
    return _held(slopes) + _process(slopes)


def _process(slopes: Slopes) -> tuple[quantities.Row, ...]:
    streams = SIZE.tokens_per_host * TOKEN_GAP
    return (
        quantities.Row(
            'entry host',
            'memory of an idle process',
            'idle_process',
            slopes.slope('idle_process').median,
            'MB',
            SIZE.control_memory / 1e6,
            'the interpreter and the libraries',
            quantities.Status.MEASURED,
        ),
        quantities.Row(
            'entry host',
            'memory for open streams',
            '3,421 tokens/s x 36 ms x open_stream',
            streams * slopes.slope('open_stream').median / 1e3,
            'MB',
            None,
            'entry/, network/',
            quantities.Status.EXTRAPOLATED,
        ),
    )


def _held(slopes: Slopes) -> tuple[quantities.Row, ...]:
    counts = (
        ('members', SIZE.hosts, 'member_known', 'shared/membership/view.py'),
        (
            'backend servers',
            SIZE.engines,
            'backend_known',
            'shared/backend_list.py, decisions/',
        ),
        (
            'workspaces',
            SIZE.workspaces,
            'workspace_held',
            'shared/configuration/catalogs.py',
        ),
    )
    return tuple(
        quantities.Row(
            'entry host',
            f'memory for {what}',
            f'{count:,} x {name}',
            count * slopes.slope(name).median / 1e6,
            'MB',
            SIZE.control_memory / 1e6,
            mechanism,
            quantities.Status.EXTRAPOLATED,
        )
        for what, count, name, mechanism in counts
    )


def _configuration(slopes: Slopes) -> tuple[quantities.Row, ...]:
    once = slopes.slope('change_applied').median * MICROSECOND
    rate = SIZE.changes_per_day / DAY
    shard = SIZE.workspaces / SHARDS
    return (
        quantities.Row(
            'entry host',
            'CPU for changes, an ordinary day',
            '10,000/day x change_applied',
            _core(rate * once),
            '% of a core',
            CORE_BUDGET,
            'shared/configuration/catalogs.py',
            quantities.Status.EXTRAPOLATED,
        ),
        quantities.Row(
            'entry host',
            'CPU for changes, 1,000 in a minute',
            '1,000/60 s x change_applied',
            _core(CHANGES_IN_A_MINUTE / 60.0 * once),
            '% of a core',
            CORE_BUDGET,
            'shared/configuration/catalogs.py',
            quantities.Status.EXTRAPOLATED,
            worst=True,
        ),
        quantities.Row(
            'entry host',
            'bytes for changes, an ordinary day',
            '10,000/day x a shard of 8.8 workspaces, received and passed on',
            2.0 * rate * shard * slopes.slope('workspace_stored').median,
            'bytes/s',
            SIZE.control_bytes_per_second,
            'shared/configuration/exchange.py',
            quantities.Status.EXTRAPOLATED,
        ),
    )


def _requests(slopes: Slopes) -> tuple[quantities.Row, ...]:
    decision = slopes.slope('decision').median * MICROSECOND
    relay = slopes.slope('relayed_token').median * MICROSECOND
    return (
        quantities.Row(
            'entry host',
            'CPU for decisions',
            '11.6 requests/s x decision (subset of 900 engines at most)',
            _core(SIZE.requests_per_host * decision),
            '% of a core',
            None,
            'decisions/dispatcher.py',
            quantities.Status.EXTRAPOLATED,
        ),
        quantities.Row(
            'entry host',
            'CPU for relayed tokens',
            '3,421 tokens/s x relayed_token',
            _core(SIZE.tokens_per_host * relay),
            '% of a core',
            50.0,
            'entry/attempts.py, network/',
            quantities.Status.MEASURED,
        ),
    )


def _callers(slopes: Slopes) -> tuple[quantities.Row, ...]:
    look_ups = CALLER_PROCESSES / ADDRESS_TTL / SIZE.hosts
    cost = slopes.slope('address_answer').median * MICROSECOND
    return (
        quantities.Row(
            'caller',
            'CPU of a host for address answers',
            '10,000 caller processes / 10 s / 380 hosts x address_answer',
            _core(look_ups * cost),
            '% of a core',
            CORE_BUDGET,
            'shared/membership/addresses.py',
            quantities.Status.EXTRAPOLATED,
        ),
    )
