"""What a host does for the duties, from its start to its shutdown."""

import collections.abc
import logging
import random
import typing

import trio

from corianderloft._internal.gateway.duties import duty
from corianderloft._internal.gateway.duties import exchange
from corianderloft._internal.gateway.duties import interface
from corianderloft._internal.gateway.duties import scaling_orders
from corianderloft._internal.gateway.duties import sections
from corianderloft._internal.gateway.duties import true_time
from corianderloft._internal.gateway.duties import usage
from corianderloft._internal.gateway.duties import usage_reports
from corianderloft._internal.gateway.duties import usage_tenure
from corianderloft._internal.gateway import settings
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.models import routing
from corianderloft._internal.placement import demand_reports
from corianderloft._internal.placement import placer
from corianderloft._internal.utils import supervision

logger = logging.getLogger(__name__)

Act = collections.abc.Callable[[], collections.abc.Awaitable[None]]

LAST_DATAGRAM_TIMEOUT_S = 0.2

MIN_TTL_S = 3.0 * interface.CALL_TIMEOUT_S
"""Shortest TTL of the lease: it is renewed each third of it, and must then
outlast a call until the next renewal, one of which may fail."""


class HostDuties(listener.Listener):
    """The lease, the exchange and the parts that act under the lease.

    Parameters
    ----------
    cfg : GatewaySettings
        Settings with ``platform_api`` and ``duty_bounds``.
    store : KeyValueClient
        The store.
    prefix : str
        Key prefix of all that concerns duties.
    api : PlatformApi
        The platform's API.
    own : Member
        Entry of this host.
    time_of_day : TrueTime
        Time of day of this host.
    send : callable
        Sends a datagram to hosts.
    rng : random.Random
        Source of jitter.
    is_listed : callable
        Returns whether this host's copy of the store has a key.

    Attributes
    ----------
    duty : Duty
        The lease.
    exchange : DutyExchange
        Datagrams to the candidates.
    usage : UsageCounter or None
        Counts the runs of requests, if usage is reported.
    """

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        store: kv.KeyValueClient,
        prefix: str,
        api: interface.PlatformApi,
        own: members.Member,
        time_of_day: true_time.TrueTime,
        send: exchange.Send,
        rng: random.Random,
        is_listed: collections.abc.Callable[[str], bool] = lambda key: False,
    ) -> None:
        assert cfg.platform_api is not None and cfg.duty_bounds is not None
        bounds = cfg.duty_bounds
        ttl = max(bounds.lease_time, cfg.store.min_lease_ttl, MIN_TTL_S)
        self._time = time_of_day
        self._acts: list[Act] = []
        self._listeners: list[listener.Listener] = []
        self.duty = duty.Duty(store, prefix, cfg.host_id, ttl, rng, is_listed)
        self.exchange = exchange.DutyExchange(
            {}, own, self.duty, self._time, bounds.report_window, send, rng
        )
        self.usage: usage.UsageCounter | None = None
        if settings.DutyKind.USAGE in cfg.platform_api.duties:
            self._add_usage(bounds, store, prefix, api, rng)

    def _add_usage(
        self,
        bounds: settings.DutyBounds,
        store: kv.KeyValueClient,
        prefix: str,
        api: interface.PlatformApi,
        rng: random.Random,
    ) -> None:
        window = bounds.report_window
        table = usage.UsageTable(self._time, window)
        self.usage = usage.UsageCounter(
            self._time, window, bounds.usage_delay + window, table
        )
        reports = usage_reports.UsageReports(
            store,
            prefix,
            self.duty,
            api,
            table,
            self._time,
            usage_tenure.Timing(window, bounds.usage_delay),
            rng,
        )
        self._listeners.append(reports)
        self.add('usage', self.usage, reports.run)

    def add_scaling(
        self,
        host_id: ids.HostId,
        request_placer: placer.Placer,
        api: interface.PlatformApi,
    ) -> None:
        """Report the demand, and order engines while the duties are held.

        Parameters
        ----------
        host_id : HostId
            This host.
        request_placer : Placer
            Knows the engines and the demand.
        api : PlatformApi
            The platform's API.
        """
        section = demand_reports.DemandSection(
            request_placer.arrivals, request_placer
        )
        orders = scaling_orders.ScalingOrders(
            host_id, request_placer, section, self.duty, api
        )
        self._listeners.append(orders)
        self.add('demand', section, orders.run)

    def use_table(self, table: routing.RoutingTable) -> None:
        """Use new declarations."""
        for part in self._listeners:
            part.use_table(table)

    def add(self, name: str, section: sections.Section, act: Act) -> None:
        """Add a part with a section of the datagrams.

        Parameters
        ----------
        name : str
            Name of the section, the same on all hosts.
        section : Section
            The section.
        act : callable
            Task that runs until the shutdown begins, and acts only while
            `duty` says that this host may.
        """
        self.exchange.add_section(name, section)
        self._acts.append(act)

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Use a new list of entry hosts."""
        for part in (self.duty, self.exchange, *self._listeners):
            part.use_members(current)

    async def run(
        self, wait_stopping: collections.abc.Callable[[], typing.Any]
    ) -> typing.NoReturn:
        """Run all parts until cancelled; count and send until then.

        Parameters
        ----------
        wait_stopping : callable
            Waits until this host shuts down. It then stops acting and, after
            that, releases the lease.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervision.restarting, self.exchange.run)
            async with trio.open_nursery() as lease_nursery:
                lease_nursery.start_soon(supervision.restarting, self.duty.run)
                async with trio.open_nursery() as acting:
                    for act in self._acts:
                        acting.start_soon(supervision.restarting, act)
                    await wait_stopping()
                    acting.cancel_scope.cancel()
                lease_nursery.cancel_scope.cancel()
            await trio.sleep_forever()
        raise AssertionError('sleeps forever')

    async def send_last(self) -> None:
        """Send the counts since the last datagram, before the process ends."""
        with trio.move_on_after(LAST_DATAGRAM_TIMEOUT_S):
            await self.exchange.send_now()
