"""Accounting of the bytes that a process holds for its callers.

Nothing here waits or uses the network; `memory` does. The load that it
answers is many requests that each hold much at once: large bodies, and
responses that callers read slowly.

The budget has two parts, one for request bodies and one for responses. A
request that holds a body and needs room for its response thus never waits
for another body. Within a part, an account that is the only holder may always
have more, up to the limits of its request: a single request is served on any
host.
"""

import collections
import collections.abc
import dataclasses
import enum
import math
import sys

MIN_BODIES_BYTES = 11 * 2**19
"""Smallest part for bodies: one of the largest usual size, with its receive
buffer, and some small."""

MIN_RESPONSES_BYTES = 16 * 2**20
"""Smallest part for responses: one of the largest size."""

EXCEEDING_BYTES = 16 * 2**20
"""What one response may hold beyond its part; see `ByteBudget.exceeding`."""

PROCESS_BYTES = 43 * 10**6
"""Memory of a gateway process without callers' connections, with those to its
ports for readiness checks and addresses."""

CONNECTION_BYTES = 148 * 1024
"""Share of a connection from a caller whose client reads nothing and sends
more than it should: 62 KiB in the process, 12 KiB received from the client,
12 KiB received from a backend server, and 56 KiB not yet sent. The rest is for
connections that wait to be accepted."""

MIN_CONNECTIONS = 64
"""Smallest number of connections from callers."""

UNLIMITED_CONNECTIONS = sys.maxsize
"""Number of connections if the memory is not stated: descriptors limit it."""

BODIES_FRACTION = 0.08
RESPONSES_FRACTION = 0.22
"""Fractions of the memory that is left to callers. Connections have the
rest."""

DEFAULT_MEMORY_BYTES = 2 * 10**9
"""Memory of a process whose memory is not stated."""

RATE_PERIOD_S = 2.0
"""Time constant of the average of the rate of a connection."""

MIN_RATE = 1024.0
"""Rate in bytes/s below which connections are not distinguished."""

MAX_CLEARING_S = 10.0
"""Time in which a client clears what is held for it, at its present rate. A
slower one may be dropped. Bodies have the same time to arrive."""

GRACE_S = 1.0
"""Time that a client has to begin with reading or sending."""


class Part(enum.Enum):
    """Parts of the budget."""

    BODIES = 'bodies'
    RESPONSES = 'responses'


@dataclasses.dataclass(frozen=True)
class Sizes:
    """Sizes of the parts of a budget.

    Attributes
    ----------
    connections : int
        Number of connections from callers.
    bodies, responses : int
        Bytes of request bodies and of responses.
    """

    connections: int
    bodies: int
    responses: int


def sizes(
    memory: int,
    process_bytes: int = PROCESS_BYTES,
    connection_bytes: int = CONNECTION_BYTES,
) -> Sizes:
    """Return sizes that together stay within the memory of a process.

    Parameters
    ----------
    memory : int
        Memory of the process in bytes; 0: unknown.
    process_bytes : int
        Memory of the process without connections.
    connection_bytes : int
        Share of a connection.
    """
    free = (memory or DEFAULT_MEMORY_BYTES) - process_bytes - EXCEEDING_BYTES
    bodies = max(MIN_BODIES_BYTES, int(free * BODIES_FRACTION))
    responses = max(MIN_RESPONSES_BYTES, int(free * RESPONSES_FRACTION))
    connections = UNLIMITED_CONNECTIONS
    if memory:
        connections = (free - bodies - responses) // connection_bytes
    return Sizes(max(MIN_CONNECTIONS, connections), bodies, responses)


class Account:
    """What one request holds.

    Parameters
    ----------
    budget : ByteBudget
        The budget.
    drop : callable
        Ends the connection of the request.

    Attributes
    ----------
    urgency : int
        Priority of the request; 0 is the most urgent.
    dropped : bool
        Whether the request was chosen to make room.
    """

    __slots__ = (
        '_budget',
        '_drop',
        '_held',
        '_rate',
        '_updated',
        '_waits_since',
        'dropped',
        'urgency',
    )

    def __init__(
        self,
        budget: 'ByteBudget',
        drop: collections.abc.Callable[[], None],
    ) -> None:
        self._budget = budget
        self._drop = drop
        self._held = {Part.BODIES: 0, Part.RESPONSES: 0}
        self._rate = 0.0
        self._updated = 0.0
        self._waits_since = math.inf
        self.urgency = 0
        self.dropped = False

    def held(self, part: Part) -> int:
        """Return the bytes held in a part."""
        return self._held[part]

    def exceeds(self, part: Part) -> bool:
        """Return whether this account may exceed a part."""
        return self._budget.exceeding[part] is self

    def try_reserve(self, part: Part, size: int) -> bool:
        """Hold more bytes if the part has room, or has no other holder."""
        if self.dropped:
            return False
        if self.exceeds(part):
            self._change(part, size)
            return True
        others = self._budget.used(part) - self._held[part]
        if others and self._budget.free(part) < size:
            return False
        self._change(part, size)
        return True

    def reserve_received(self, part: Part, size: int) -> None:
        """Hold bytes that are in memory already, even beyond the part."""
        self._change(part, size)

    def release(self, part: Part, size: int) -> None:
        """Return bytes, at most those that are held."""
        self._change(part, -min(size, self._held[part]))

    def close(self) -> None:
        """Return everything."""
        for part in Part:
            self.release(part, self._held[part])
            if self.exceeds(part):
                self._budget.exceeding[part] = None

    def start_waiting(self, now: float) -> None:
        """Record that the client is to send or to read from now on."""
        self._waits_since = now
        self._updated = now
        self._rate = 0.0

    def stop_waiting(self) -> None:
        """Record that nothing is expected of the client."""
        self._waits_since = math.inf

    def record_progress(self, size: int, now: float) -> None:
        """Record bytes that the client has sent or read."""
        self._rate = self.rate(now) + size / RATE_PERIOD_S
        self._updated = now

    def rate(self, now: float) -> float:
        """Return the average rate of the client in bytes/s."""
        elapsed = max(0.0, now - self._updated)
        return self._rate * math.exp(-elapsed / RATE_PERIOD_S)

    def clearing_time(self, part: Part, now: float) -> float:
        """Return how long the client needs for what is held, in seconds.

        0 if nothing is expected of the client, or has been only just now.
        """
        if now - self._waits_since < GRACE_S:
            return 0.0
        return self._held[part] / max(MIN_RATE, self.rate(now))

    def drop(self) -> None:
        """End the connection; what is held is returned as its task ends."""
        self.dropped = True
        self._drop()

    def _change(self, part: Part, size: int) -> None:
        self._held[part] += size
        self._budget.change(self, part, size)


class ByteBudget:
    """The bytes that all requests of a process hold.

    Parameters
    ----------
    limits : Sizes
        Sizes of the parts.

    Attributes
    ----------
    dropped : Counter
        Requests that were dropped to make room, by part.
    refused : Counter
        Requests that found no room in time, by part.
    exceeding : dict of Part to Account or None
        The one account that may exceed a part until its request ends.
    """

    def __init__(self, limits: Sizes) -> None:
        self._sizes = {
            Part.BODIES: limits.bodies,
            Part.RESPONSES: limits.responses,
        }
        self._used = dict.fromkeys(Part, 0)
        self._holders: dict[Part, set[Account]] = {p: set() for p in Part}
        self.dropped: collections.Counter[Part] = collections.Counter()
        self.refused: collections.Counter[Part] = collections.Counter()
        self.exceeding: dict[Part, Account | None] = dict.fromkeys(Part)

    def open(self, drop: collections.abc.Callable[[], None]) -> Account:
        """Return an account that holds nothing."""
        return Account(self, drop)

    def size(self, part: Part) -> int:
        """Return the size of a part."""
        return self._sizes[part]

    def used(self, part: Part) -> int:
        """Return the bytes that all accounts hold in a part."""
        return self._used[part]

    def free(self, part: Part) -> int:
        """Return the bytes left in a part; negative if it is exceeded."""
        return self._sizes[part] - self._used[part]

    def change(self, account: Account, part: Part, size: int) -> None:
        """Record that an account holds more, or less if negative."""
        self._used[part] += size
        if account.held(part):
            self._holders[part].add(account)
        else:
            self._holders[part].discard(account)

    def slowest(self, part: Part, now: float) -> Account | None:
        """Return the holder to drop first if the part is short, or None.

        Less urgent requests go before others. Among equally urgent ones, the
        one whose client needs the longest for what is held: it holds the
        most and makes the least progress. Clients that clear what they hold
        in `MAX_CLEARING_S` are not dropped.
        """
        slow = [
            (account.urgency, account.clearing_time(part, now), account)
            for account in self._holders[part]
            if not account.dropped
            and account.clearing_time(part, now) > MAX_CLEARING_S
        ]
        if not slow:
            return None
        return max(slow, key=lambda entry: entry[:2])[2]

    def largest_if_all(
        self, part: Part, accounts: set[Account]
    ) -> Account | None:
        """Return the largest holder if all are among ``accounts``.

        Parameters
        ----------
        part : Part
            Part of the budget.
        accounts : set of Account
            Accounts that wait for more.
        """
        holders = self._holders[part]
        if not holders <= accounts:
            return None
        return max(
            holders,
            key=lambda account: (account.urgency, account.held(part)),
            default=None,
        )


__all__ = ['Account', 'ByteBudget', 'Part', 'Sizes', 'sizes']
