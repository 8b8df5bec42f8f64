"""Datagrams from every host to the candidates of the duties.

Each contains the current value of every section and the clocks of the sender.
Values are cumulative, so that the next datagram replaces a lost one. The
candidates answer only hosts whose time of day deviates.
"""

import collections.abc
import logging
import math
import random
import typing

import orjson
import trio

from corianderloft._internal.gateway.duties import duty
from corianderloft._internal.gateway.duties import sections
from corianderloft._internal.gateway.duties import true_time
from corianderloft._internal.models import ids
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.utils import clock

logger = logging.getLogger(__name__)

PREFIX = b'{"dut'
"""Beginning of both kinds of datagrams."""

SEND_INTERVAL_S = 1.0
"""Interval between datagrams: what a host counted since its last one is lost
with it."""

MAX_DATAGRAMS_PER_S = 200.0
"""Datagrams that a candidate should receive in a second. In larger fleets the
interval grows, so that they do not fill the link of a small host."""

SURVEY_INTERVALS = 2.5
"""Intervals for which a new candidate hears the clocks of the others before it
corrects any: the median of those that happened to come first may be wrong."""

SETTLE_TIME_S = 1.0
"""Time after the end of a window in which hosts complete their counts; also
the largest difference between the clocks of two hosts that does no harm."""

MAX_DATAGRAM_BYTES = 60000
"""Maximum size of a datagram, below the limit of UDP."""

MAX_TIME_S = 1e11
"""Limit on times from outside; some thousand years."""

Send = collections.abc.Callable[
    [bytes, collections.abc.Sequence[members.Member]],
    collections.abc.Awaitable[None],
]


class DutyExchange(listener.Listener):
    """Sends the sections of this host and receives those of other hosts.

    Parameters
    ----------
    named_sections : mapping of str to Section
        The sections by name; the same on all hosts.
    own : Member
        Entry of this host.
    duties : Duty
        Elects the candidates.
    time_of_day : TrueTime
        Time of day of this host.
    window : float
        Length of a window in seconds; a datagram is sent soon after the end
        of each.
    send : callable
        Sends a datagram to hosts.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        named_sections: collections.abc.Mapping[str, sections.Section],
        own: members.Member,
        duties: duty.Duty,
        time_of_day: true_time.TrueTime,
        window: float,
        send: Send,
        rng: random.Random,
    ) -> None:
        self._sections = dict(named_sections)
        self._own = own
        self._duty = duties
        self._time = time_of_day
        self._window = window
        self._send = send
        self._rng = rng
        self._survey = true_time.ClockSurvey()
        self._corrects_from = math.inf
        self._members: dict[ids.HostId, members.Member] = {}
        self._corrections: dict[ids.HostId, bytes] = {}
        self._wake = trio.Event()

    def add_section(self, name: str, section: sections.Section) -> None:
        """Add a section; it is in the datagrams from the next one on."""
        self._sections[name] = section

    @property
    def prefix(self) -> bytes:
        """Beginning of these datagrams, and of no others."""
        return PREFIX

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Use a new list of entry hosts."""
        self._members = {member.host_id: member for member in current}
        if not self._duty.is_candidate:
            self._corrects_from = math.inf
        elif self._corrects_from == math.inf:
            wait = SURVEY_INTERVALS * self._interval()
            self._corrects_from = clock.now() + wait

    async def run(self) -> typing.NoReturn:
        """Send datagrams until cancelled."""
        next_at = clock.now()
        while True:
            if clock.now() >= next_at:
                await self.send_now()
                next_at = clock.now() + self._delay()
            with trio.move_on_after(next_at - clock.now()):
                await self._wake.wait()
            self._wake = trio.Event()
            await self._send_corrections()

    async def send_now(self) -> None:
        """Send a datagram to the candidates, also as a last one."""
        values = {
            name: value
            for name, section in self._sections.items()
            if (value := section.encode()) is not None
        }
        candidates = self._duty.candidates
        others = [c for c in candidates if c.host_id != self._own.host_id]
        if len(others) < len(candidates):
            self._receive_own(values)
        data = self._encode(values)
        if len(data) > MAX_DATAGRAM_BYTES:
            # One section alone may fit.
            for name, value in values.items():
                await self._send_part(self._encode({name: value}), others)
            return
        await self._send(data, others)

    async def _send_part(
        self, data: bytes, recipients: collections.abc.Sequence[members.Member]
    ) -> None:
        if len(data) <= MAX_DATAGRAM_BYTES:
            await self._send(data, recipients)
        else:
            logger.error(
                'datagram to the candidates not sent: it is too large',
                extra={'bytes': len(data)},
            )

    def _delay(self) -> float:
        """Return the time until the next datagram.

        It is shortened so that one is sent soon after a window has settled.
        """
        interval = self._interval()
        delay = self._rng.uniform(0.8, 1.0) * interval
        into_window = (self._time.now() - SETTLE_TIME_S) % self._window
        until_settled = self._window - into_window
        if until_settled > delay:
            return delay
        return until_settled + self._rng.uniform(0.02, 0.2) * interval

    def _interval(self) -> float:
        return max(SEND_INTERVAL_S, len(self._members) / MAX_DATAGRAMS_PER_S)

    def _agreed_offset(self, now: float) -> float | None:
        """Return the offset that all hosts agree on, if this is known."""
        if now < self._corrects_from:
            return None
        return self._survey.agreed_offset(now, len(self._members))

    def _encode(self, values: dict[str, typing.Any]) -> bytes:
        sent_at = clock.now()
        clocks = (
            sent_at,
            sent_at + self._time.wall_offset(),
            self._time.offset,
        )
        return orjson.dumps(
            {
                'duties': [self._own.host_id, self._own.start, *clocks],
                'sections': values,
            }
        )

    def _receive_own(self, values: dict[str, typing.Any]) -> None:
        own, now = self._own, clock.now()
        wall = now + self._time.wall_offset()
        self._survey.record(own.host_id, own.start, now, wall, now)
        agreed = self._agreed_offset(now)
        if agreed is not None:
            self._time.propose(own.host_id, agreed, now)
        for name, value in values.items():
            self._sections[name].receive(own.host_id, own.start, value, now)

    def receive(self, data: bytes) -> bool:
        """Use a datagram; return False if it is malformed."""
        now = clock.now()
        try:
            message = orjson.loads(data)
            if 'duties' in message:
                self._receive_sections(message, now)
            else:
                self._receive_correction(message, now)
        except (ValueError, TypeError, KeyError, AttributeError):
            return False
        return True

    def _receive_sections(self, message: typing.Any, now: float) -> None:
        host_id, start, sent_at, wall, offset = message['duties']
        host_id, start = ids.HostId(_text(host_id)), _text(start)
        offset = _time(offset)
        self._survey.record(host_id, start, _time(sent_at), _time(wall), now)
        self._check_time(host_id, start, offset, now)
        for name, value in message['sections'].items():
            # A host of a later release may send sections unknown here.
            if name in self._sections:
                self._sections[name].receive(host_id, start, value, now)

    def _check_time(
        self, host_id: ids.HostId, start: str, offset: float, now: float
    ) -> None:
        """Correct a host whose time of day deviates, if this is known."""
        agreed = self._agreed_offset(now)
        if agreed is None:
            return
        proper = self._survey.offset_for(host_id, agreed)
        if proper is None or abs(proper - offset) <= true_time.TOLERANCE_S:
            return
        self._corrections[host_id] = orjson.dumps(
            {'duties_time': [self._own.host_id, start, proper]}
        )
        self._wake.set()

    def _receive_correction(self, message: typing.Any, now: float) -> None:
        host_id, start, offset = message['duties_time']
        host_id, offset = ids.HostId(_text(host_id)), _time(offset)
        is_candidate = any(
            host_id == member.host_id for member in self._duty.candidates
        )
        if start == self._own.start and is_candidate:
            self._time.propose(host_id, offset, now)

    async def _send_corrections(self) -> None:
        corrections, self._corrections = self._corrections, {}
        for host_id, data in corrections.items():
            if host_id in self._members:
                await self._send(data, [self._members[host_id]])


def _text(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f'{value!r} is not a string')
    return value


def _time(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f'{value!r} is not a number')
    if not math.isfinite(value) or abs(value) > MAX_TIME_S:
        raise ValueError(f'{value!r} is out of range')
    return float(value)
