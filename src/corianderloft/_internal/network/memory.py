"""Waits for room in the byte budget of this process."""

import collections.abc
import contextlib
import logging
import math

import trio

from corianderloft._internal.network import byte_budget

PATIENCE_S = 0.5
"""Time without room after which a slow client is dropped to make some."""

LOG_INTERVAL_S = 5.0
"""Shortest time between two log lines about dropped clients."""

logger = logging.getLogger(__name__)


class _Waiter:
    """A request that waits for room."""

    def __init__(self, account: byte_budget.Account) -> None:
        self.account = account
        self.woken = trio.Event()


class Memory:
    """The byte budget of a process, with those that wait for room.

    Parameters
    ----------
    budget : ByteBudget
        The accounting.
    """

    def __init__(self, budget: byte_budget.ByteBudget) -> None:
        self.budget = budget
        self._waiters: dict[byte_budget.Part, list[_Waiter]] = {
            part: [] for part in byte_budget.Part
        }
        self._drops_unlogged = 0
        self._logged_at = -math.inf

    @contextlib.contextmanager
    def account(
        self, drop: collections.abc.Callable[[], None]
    ) -> collections.abc.Iterator['RequestMemory']:
        """Provide the account of one request and close it in the end."""
        request = RequestMemory(self, self.budget.open(drop))
        try:
            yield request
        finally:
            request.close()

    def is_awaited(self, part: byte_budget.Part) -> bool:
        """Return whether requests wait for room in a part."""
        return bool(self._waiters[part])

    def relieve(self) -> None:
        """Drop slow clients until no part is exceeded.

        To be called about once a second: bytes that are in memory already
        are counted even beyond a part, and nobody may wait then.
        """
        for part in byte_budget.Part:
            missing = -self.budget.free(part)
            while missing > 0:
                freed = self.make_room(part)
                if not freed:
                    break
                missing -= freed

    def wake(self, part: byte_budget.Part) -> None:
        """Let the first waiter try again."""
        if self._waiters[part]:
            self._first(part).woken.set()

    async def wait(
        self,
        account: byte_budget.Account,
        part: byte_budget.Part,
        size: int,
    ) -> bool:
        """Reserve as soon as there is room, the most urgent request first.

        Returns False only if the request itself is dropped meanwhile.
        """
        waiter = _Waiter(account)
        self._waiters[part].append(waiter)
        try:
            while not account.dropped:
                is_next = self._first(part) is waiter or account.exceeds(part)
                if is_next and account.try_reserve(part, size):
                    return True
                waiter.woken = trio.Event()
                with trio.move_on_after(PATIENCE_S) as patience:
                    await waiter.woken.wait()
                if patience.cancelled_caught and self._first(part) is waiter:
                    self.make_room(part)
            return False
        finally:
            self._waiters[part].remove(waiter)
            self.wake(part)

    def make_room(self, part: byte_budget.Part) -> int:
        """Drop one client; return the bytes that this frees.

        It is the slowest one that holds bytes of a part. If there is none and
        all holders of responses wait for each other, the one that holds the
        most may exceed the part, as their clients have done nothing wrong;
        bodies that wait are refused in time.
        """
        now = trio.current_time()
        account = self.budget.slowest(part, now)
        if account is None:
            if part is byte_budget.Part.RESPONSES:
                self._let_one_exceed(part)
            return 0
        freed = account.held(part)
        self.budget.dropped[part] += 1
        self._log_drop(account, part, now)
        account.drop()
        for waiter in self._waiters[part]:
            if waiter.account is account:
                waiter.woken.set()
        return freed

    def _let_one_exceed(self, part: byte_budget.Part) -> None:
        if self.budget.exceeding[part] is not None:
            return
        account = self.budget.largest_if_all(
            part, {w.account for w in self._waiters[part]}
        )
        self.budget.exceeding[part] = account
        for waiter in self._waiters[part]:
            if waiter.account is account:
                waiter.woken.set()

    def _first(self, part: byte_budget.Part) -> _Waiter:
        return min(self._waiters[part], key=lambda w: w.account.urgency)

    def _log_drop(
        self,
        account: byte_budget.Account,
        part: byte_budget.Part,
        now: float,
    ) -> None:
        self._drops_unlogged += 1
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        logger.warning(
            'slow client disconnected to free memory',
            extra={
                'part': part.value,
                'held': account.held(part),
                'rate': round(account.rate(now)),
                'used': self.budget.used(part),
                'size': self.budget.size(part),
                'clients': self._drops_unlogged,
            },
        )
        self._drops_unlogged = 0
        self._logged_at = now


class RequestMemory:
    """Bytes held for one request.

    Parameters
    ----------
    memory : Memory
        Memory of the process.
    account : Account
        Account of the request.
    """

    def __init__(self, memory: Memory, account: byte_budget.Account) -> None:
        self._memory = memory
        self._account = account

    @property
    def dropped(self) -> bool:
        """Whether the request was chosen to make room."""
        return self._account.dropped

    @property
    def urgency(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        return self._account.urgency

    def set_urgency(self, urgency: int) -> None:
        """Set the priority of the request; 0 is the most urgent."""
        self._account.urgency = urgency

    def close(self) -> None:
        """Return everything."""
        self._account.close()
        for part in byte_budget.Part:
            self._memory.wake(part)

    def try_reserve(self, part: byte_budget.Part, size: int) -> bool:
        """Reserve bytes if there is room and nobody waits for it."""
        if not size:
            return True
        if self._memory.is_awaited(part) and not self._account.exceeds(part):
            return False
        return self._account.try_reserve(part, size)

    async def reserve(
        self, part: byte_budget.Part, size: int, timeout: float = math.inf
    ) -> bool:
        """Reserve bytes; wait for at most ``timeout`` seconds for room."""
        if self.try_reserve(part, size):
            return True
        with trio.move_on_after(timeout):
            if await self._memory.wait(self._account, part, size):
                return True
        self._memory.budget.refused[part] += 1
        return False

    def release(self, part: byte_budget.Part, size: int) -> None:
        """Return bytes."""
        if size:
            self._account.release(part, size)
            self._memory.wake(part)

    def start_receiving(self) -> None:
        """Record that the client is to send its body."""
        self._account.start_waiting(trio.current_time())

    def stop_receiving(self) -> None:
        """Record that the body is complete."""
        self._account.stop_waiting()

    def record_progress(self, size: int) -> None:
        """Record bytes that the client has sent or read."""
        self._account.record_progress(size, trio.current_time())

    @contextlib.contextmanager
    def writing(self, size: int) -> collections.abc.Iterator[None]:
        """Hold the bytes that a client does not read at once.

        A whole response is held already. Other bytes are in memory and have
        to be counted; if that exceeds the budget, a slow client is dropped.
        """
        part = byte_budget.Part.RESPONSES
        extra = max(0, size - self._account.held(part))
        self._account.reserve_received(part, extra)
        self._account.start_waiting(trio.current_time())
        if self._memory.budget.free(part) < 0:
            self._memory.make_room(part)
        try:
            yield
        finally:
            self._account.stop_waiting()
            self.release(part, extra)
