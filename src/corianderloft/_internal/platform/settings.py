"""Settings file that the users' platform writes for each process."""

import collections.abc
import dataclasses
import math
import os
import typing

import yaml

from corianderloft._internal.gateway import settings
from corianderloft._internal.models import ids

PATH_VARIABLE = 'CORIANDERLOFT_CONFIG'
DEFAULT_PATH = '/etc/corianderloft/settings.yaml'

_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


@dataclasses.dataclass(frozen=True)
class InvalidSettings:
    """The settings file is missing, unreadable or invalid."""

    path: str
    detail: str

    def __str__(self) -> str:
        return f'{self.path}: {self.detail}'


def path() -> str:
    """Return the path of the settings file of this process."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read(file: str) -> settings.GatewaySettings | InvalidSettings:
    """Read a settings file."""
    try:
        with open(file, encoding='utf-8') as stream:
            return _settings(yaml.load(stream, _LOADER))
    except (OSError, yaml.YAMLError, ValueError) as exc:
        return InvalidSettings(file, str(exc))
    except (KeyError, TypeError, AttributeError, IndexError) as exc:
        return InvalidSettings(
            file, f'a field is missing or malformed: {exc!r}'
        )


class Reader:
    """Reads a settings file again only when it has changed.

    Parameters
    ----------
    file : str
        Path of the file.
    """

    def __init__(self, file: str) -> None:
        self._file = file
        self._last_stamp: tuple[int, int] | None = None
        self._last: settings.GatewaySettings | InvalidSettings | None = None

    def read(self) -> settings.GatewaySettings | InvalidSettings:
        """Return the current settings, or why they are invalid."""
        try:
            status = os.stat(self._file)
        except OSError as exc:
            return InvalidSettings(self._file, str(exc))
        stamp = status.st_mtime_ns, status.st_size
        if self._last is None or stamp != self._last_stamp:
            self._last_stamp = stamp
            self._last = read(self._file)
        return self._last


def _settings(data: typing.Any) -> settings.GatewaySettings:
    listen = data['listen']
    ports = data['internal_ports']
    # The platform leaves the use of the internal ports to this system.
    return settings.GatewaySettings(
        host_id=ids.HostId(data['node']),
        address=data['ip'],
        caller_port=_port(listen['front']),
        ready_port=_port(listen['ready']),
        address_port=_port(listen['directory']),
        metrics_port=int(ports[0]),
        peer_port=int(ports[0]),
        failure_domain=ids.FailureDomain(data['zone']),
        max_open_files=int(data['limits']['max_fds']),
        bounds=_bounds(data['bounds'], data.get('heartbeat_ms')),
        store=_store(data['platform']),
        link_kbps=_link_kbps(data['limits']),
        platform_api=_platform_api(data),
        duty_bounds=_duty_bounds(data),
        memory_bytes=_memory_bytes(data['limits']),
        memory_admission=PRESSURE in _contracts(data),
        hedge_extra_work=_hedge_extra_work(data),
    )


DUTIES = 'leader'
PRESSURE = 'pressure'
"""Names in the list of contracts: the platform asks for duties; engines end
if the requests that they hold exceed their memory."""

_DUTY_KINDS = {
    'usage_report': settings.DutyKind.USAGE,
    'autoscale': settings.DutyKind.SCALING,
}


def _contracts(data: typing.Any) -> collections.abc.Collection[str]:
    return data.get('contracts') or ()


def _platform_api(data: typing.Any) -> settings.PlatformApi | None:
    """Return the settings of the platform's API; None if it has no duties."""
    api = data.get('cloud')
    if DUTIES not in _contracts(data) or not api:
        return None
    address, _, _ = api['address'].rpartition(':')
    return settings.PlatformApi(
        address=address,
        port=_port(api['address']),
        duties=frozenset(
            _DUTY_KINDS[name]
            for name in api.get('duties') or ()
            if name in _DUTY_KINDS
        ),
        calls_per_s=_number(api, 'duty_per_s'),
    )


def _duty_bounds(data: typing.Any) -> settings.DutyBounds | None:
    if _platform_api(data) is None:
        return None
    bounds = data['bounds']
    return settings.DutyBounds(
        lease_time=_number(bounds, 'lease_ms') / 1000,
        report_window=_number(bounds, 'report_window_s'),
        usage_delay=_number(bounds, 'usage_late_s'),
        fencing_checked=bool(bounds.get('enforce_fencing', False)),
    )


def _memory_bytes(limits: typing.Any) -> int:
    """Return the memory of the process in bytes; 0 if it is not stated."""
    if limits.get('memory_mb') is None:
        return 0
    return int(_number(limits, 'memory_mb') * 10**6)


def _hedge_extra_work(data: typing.Any) -> float:
    """Return the share of extra work; 0 if it is not stated."""
    hedging = data.get('hedging') or {}
    if hedging.get('extra_work') is None:
        return 0.0
    share = _number(hedging, 'extra_work')
    if not 0 <= share <= 1:
        raise ValueError(f'extra_work: {share!r} is not between 0 and 1')
    return share


def _link_kbps(limits: typing.Any) -> int:
    """Return the bandwidth of the link; 0 if it is not stated."""
    if limits.get('link_mbps') is None:
        return 0
    return int(_number(limits, 'link_mbps') * 1000)


HEARTBEATS_UNTIL_EXPIRY = 3
"""Heartbeats without one of which the store removes the entry of a server."""


HEARTBEAT_JITTER_RATIO = 0.2
"""Part of the interval by which a heartbeat may be late; the platform sends
them approximately that often."""


def _bounds(
    data: typing.Any, heartbeat_ms: float | None = None
) -> settings.Bounds:
    heartbeat = (heartbeat_ms or 0) / 1000
    fail_closed = data.get('fail_closed', False)
    return settings.Bounds(
        revocation_time=(
            _number(data, 'revoke_ms') / 1000 if fail_closed else None
        ),
        termination_grace=_number(data, 'grace_s'),
        retry_ratio=_number(data, 'retry_budget_ratio'),
        retry_slack=_number(data, 'budget_slack'),
        retry_window=_number(data, 'budget_window_s'),
        max_address_ttl=_number(data, 'ttl_max_s'),
        recovery_time=_milliseconds(data, 'stable_ms'),
        drain_time=_milliseconds(data, 'drain_ms'),
        apply_time=_milliseconds(data, 'config_apply_ms'),
        entry_expiry=HEARTBEATS_UNTIL_EXPIRY * heartbeat,
        # The last heartbeat may be as old as the interval between two.
        min_outage=(HEARTBEATS_UNTIL_EXPIRY - 1 - HEARTBEAT_JITTER_RATIO)
        * heartbeat,
    )


def _milliseconds(data: typing.Any, name: str) -> float:
    """Return a bound in seconds; infinite if it is not set."""
    return _number(data, name) / 1000 if name in data else math.inf


def _number(data: typing.Any, name: str) -> float:
    """Return a field that must be a non-negative number."""
    value = data[name]
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f'{name}: {value!r} is not a number')
    if value < 0:
        raise ValueError(f'{name}: {value!r} is negative')
    return float(value)


def _store(data: typing.Any) -> settings.Store:
    address, _, _ = data['address'].rpartition(':')
    min_ttl_ms = _number(data, 'min_ttl_ms') if 'min_ttl_ms' in data else 0.0
    return settings.Store(
        address=address,
        port=_port(data['address']),
        min_lease_ttl=min_ttl_ms / 1000,
    )


def _port(address: str) -> int:
    port = int(address.rpartition(':')[2])
    if not 0 < port < 65536:
        raise ValueError(f'{address!r} has no valid TCP port')
    return port
