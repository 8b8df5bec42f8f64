"""Rows of the capacity table: cost of each role at the design size."""

import collections.abc
import itertools

from bench.capacity import design
from bench.capacity import kv_rows
from bench.capacity import measurements
from bench.capacity import quantities
from corianderloft._internal.settings import backends

POLLS_PER_SECOND = backends.BackendSettings().polls_per_second
SIZE = design.DesignSize()
SECONDS_PER_DAY = 86_400.0
SECONDS_PER_US = 1e-6
PROBES_PER_SECOND = 1.0
MESSAGES_PER_PROBE = 2.0  # a probe and its acknowledgement
UPDATES_PER_PROBE = 3  # hosts that a probe carries updates about
IP_UDP_HEADER_BYTES = 28.0  # IP and UDP
SHARDS = 4096
PEAK_CHANGES_PER_MINUTE = 1_000
TOKEN_GAP_S = 0.036
ADDRESS_TTL_S = 10.0
CALLER_PROCESSES = 10_000

Slopes = measurements.Recorded


def _core_percent(seconds: float) -> float:
    """Convert CPU seconds per second to percent of a core."""
    return 100.0 * seconds


CORE_BUDGET_PERCENT = _core_percent(SIZE.control_core_fraction)


def all_rows(slopes: Slopes) -> tuple[quantities.Row, ...]:
    """Return all rows, grouped by role."""
    sections: tuple[
        collections.abc.Callable[[Slopes], tuple[quantities.Row, ...]], ...
    ] = (
        _message_costs,
        _memory,
        _configuration_costs,
        _request_costs,
        kv_rows.all_rows,
        _caller_costs,
    )
    rows = tuple(
        itertools.chain.from_iterable(section(slopes) for section in sections)
    )
    return rows + _totals(rows)


def _totals(rows: tuple[quantities.Row, ...]) -> tuple[quantities.Row, ...]:
    """Return the total costs of control on one host, excluding peaks."""
    budgets = (
        ('CPU', '% of a core', CORE_BUDGET_PERCENT),
        ('memory', 'MB', SIZE.control_memory / 1e6),
        ('bytes', 'bytes/s', SIZE.control_bytes_per_second),
    )
    return tuple(
        quantities.Row(
            'entry host',
            f'all control: {what}',
            'sum of the rows above with this budget',
            sum(r.value for r in rows if r.budget == budget and not r.is_peak),
            unit,
            budget,
            '',
            quantities.Status.EXTRAPOLATED,
        )
        for what, unit, budget in budgets
    )


def _probe_cost(slopes: Slopes) -> float:
    """Return the CPU time for probes on one host, in s per second."""
    unit_cost = (
        slopes.slope('peer_message_encode').at(UPDATES_PER_PROBE)
        + slopes.slope('peer_message_decode').at(UPDATES_PER_PROBE)
    ) * SECONDS_PER_US
    # Per interval, a host sends one probe and one acknowledgement, and
    # receives as many.
    return PROBES_PER_SECOND * MESSAGES_PER_PROBE * unit_cost


def _probe_bytes(slopes: Slopes) -> float:
    size = (
        slopes.slope('peer_message_size').at(UPDATES_PER_PROBE)
        + IP_UDP_HEADER_BYTES
    )
    return 2.0 * PROBES_PER_SECOND * MESSAGES_PER_PROBE * size


def _message_costs(slopes: Slopes) -> tuple[quantities.Row, ...]:
    return (
        quantities.Row(
            'entry host',
            'CPU for probes',
            '2 messages/s each way x (encode + decode)',
            _core_percent(_probe_cost(slopes)),
            '% of a core',
            CORE_BUDGET_PERCENT,
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
    return _state_memory(slopes) + _process_memory(slopes)


def _process_memory(slopes: Slopes) -> tuple[quantities.Row, ...]:
    streams = SIZE.tokens_per_host * TOKEN_GAP_S
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


def _state_memory(slopes: Slopes) -> tuple[quantities.Row, ...]:
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


def _configuration_costs(slopes: Slopes) -> tuple[quantities.Row, ...]:
    unit_cost = slopes.slope('change_applied').median * SECONDS_PER_US
    rate = SIZE.changes_per_day / SECONDS_PER_DAY
    shard = SIZE.workspaces / SHARDS
    return (
        quantities.Row(
            'entry host',
            'CPU for changes, an ordinary day',
            '10,000/day x change_applied',
            _core_percent(rate * unit_cost),
            '% of a core',
            CORE_BUDGET_PERCENT,
            'shared/configuration/catalogs.py',
            quantities.Status.EXTRAPOLATED,
        ),
        quantities.Row(
            'entry host',
            'CPU for changes, 1,000 in a minute',
            '1,000/60 s x change_applied',
            _core_percent(PEAK_CHANGES_PER_MINUTE / 60.0 * unit_cost),
            '% of a core',
            CORE_BUDGET_PERCENT,
            'shared/configuration/catalogs.py',
            quantities.Status.EXTRAPOLATED,
            is_peak=True,
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


def _request_costs(slopes: Slopes) -> tuple[quantities.Row, ...]:
    decision = slopes.slope('decision').median * SECONDS_PER_US
    relay = slopes.slope('relayed_token').median * SECONDS_PER_US
    return (
        quantities.Row(
            'entry host',
            'CPU for decisions',
            '11.6 requests/s x decision (subset of 900 engines at most)',
            _core_percent(SIZE.requests_per_host * decision),
            '% of a core',
            None,
            'decisions/dispatcher.py',
            quantities.Status.EXTRAPOLATED,
        ),
        quantities.Row(
            'entry host',
            'CPU for relayed tokens',
            '3,421 tokens/s x relayed_token',
            _core_percent(SIZE.tokens_per_host * relay),
            '% of a core',
            50.0,
            'entry/attempts.py, network/',
            quantities.Status.MEASURED,
        ),
    )


def _caller_costs(slopes: Slopes) -> tuple[quantities.Row, ...]:
    lookups = CALLER_PROCESSES / ADDRESS_TTL_S / SIZE.hosts
    cost = slopes.slope('address_answer').median * SECONDS_PER_US
    return (
        quantities.Row(
            'caller',
            'CPU of a host for address answers',
            '10,000 caller processes / 10 s / 380 hosts x address_answer',
            _core_percent(lookups * cost),
            '% of a core',
            CORE_BUDGET_PERCENT,
            'shared/membership/addresses.py',
            quantities.Status.EXTRAPOLATED,
        ),
    )
