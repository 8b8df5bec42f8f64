"""Choice among accepted connections that wait for a slot of a server.

Nothing here waits or uses the network; `pending_connections` does. The load
that it answers is more clients than a process has slots, each of which gives
up after a time that only it knows, and comes back on a new connection. Served
in order of arrival, such a queue becomes as long as the patience of its
clients, and every slot then goes to one that has given up or is about to.
"""

import collections
import collections.abc
import dataclasses
import enum
import itertools

MAX_WAIT_S = 0.3
"""Time after which a request that waits for a slot is refused. Clients give up
an attempt that is not answered in a third of the time that they have, a second
at most; the rest is for the answer."""

CLOSE_AFTER_S = 0.1
"""Time that a request waits for a slot to come free by itself before another
connection is closed for it."""

SILENT_TIME_S = 1.0
"""Time that a connection without a request waits. Clients that open one send
a request at once."""


class State(enum.Enum):
    """What the client of a waiting connection has done.

    The values are labels of a metric.
    """

    SILENT = 'silent'
    ASKING = 'asking'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, eq=False)
class Pending:
    """An accepted connection without a slot.

    Attributes
    ----------
    state : State
        What its client has done.
    since : float
        When its last bytes arrived, or when it was opened, in seconds.
    """

    state: State
    since: float


@dataclasses.dataclass(frozen=True)
class Decision:
    """What to do with the connections that wait; the others go on waiting.

    Attributes
    ----------
    serve, keep : list of Pending
        Connections that get a slot: those with a request, and silent ones for
        which there are slots left.
    refuse, close : list of Pending
        Connections that get a refusal, and that are closed without one as
        their clients wait for nothing.
    lacking : int
        Number of further slots that are needed.
    """

    serve: list[Pending]
    keep: list[Pending]
    refuse: list[Pending]
    close: list[Pending]
    lacking: int


def decide(
    pending: collections.abc.Iterable[Pending],
    free: int,
    room: int,
    now: float,
    *,
    starts: int,
    newest_first: bool = False,
    max_wait: float = MAX_WAIT_S,
) -> Decision:
    """Return which connections get a slot, and which are not to wait longer.

    A slot goes to a connection only once its request arrives, to the oldest
    and to the newest request in turn. The client of the newest one will wait
    the longest for its answer; the oldest one has its turn also if others
    come back at once. Requests that have waited for `MAX_WAIT_S` come last, as
    many of their clients are about to give up.

    Parameters
    ----------
    pending : iterable of Pending
        Connections that wait.
    free : int
        Slots that nobody has.
    room : int
        Number of connections that may go on waiting.
    now : float
        Present time in seconds.
    starts : int
        Number of requests that may be begun now.
    newest_first : bool
        Whether it is the turn of the newest request.
    max_wait : float
        Time after which a request that waits is refused, in seconds.
    """
    by_state: dict[State, list[Pending]] = {state: [] for state in State}
    for connection in sorted(pending, key=lambda p: p.since):
        by_state[connection.state].append(connection)
    asking = by_state[State.ASKING]
    order = _order(asking, newest_first, now)
    serve = list(itertools.islice(order, min(free, starts)))
    asking = [p for p in asking if p not in serve]
    waiting = [p for p in asking if now - p.since <= max_wait]
    waiting = waiting[max(0, len(waiting) - room) :]
    silent = by_state[State.SILENT]
    old = [p for p in silent if now - p.since > SILENT_TIME_S]
    keep = old[: free - len(serve)]
    silent = silent[len(old) :]
    silent = silent[max(0, len(silent) + len(waiting) - room) :]
    goes_on = {*waiting, *silent, *keep}
    return Decision(
        serve,
        keep,
        refuse=[p for p in asking if p not in goes_on],
        close=[
            *by_state[State.GONE],
            *(p for p in by_state[State.SILENT] if p not in goes_on),
        ],
        lacking=sum(now - p.since > CLOSE_AFTER_S for p in waiting),
    )


def _order(
    asking: collections.abc.Iterable[Pending], newest_first: bool, now: float
) -> collections.abc.Iterator[Pending]:
    """Yield requests, sorted by age, in the order in which they are served."""
    late: list[Pending] = []
    fresh: collections.deque[Pending] = collections.deque()
    for connection in asking:
        is_late = now - connection.since > MAX_WAIT_S
        (late if is_late else fresh).append(connection)
    while fresh:
        yield fresh.pop() if newest_first else fresh.popleft()
        newest_first = not newest_first
    yield from late


__all__ = ['Decision', 'Pending', 'State', 'decide']
