"""Real processes for tests: start, kill, stop, continue, wait."""

import collections.abc
import contextlib
import inspect
import pathlib
import signal
import subprocess
import sys
import tempfile
import typing

import orjson
import trio

POLL_INTERVAL = 0.02  # s
BOUND = 30.0  # s

Condition = collections.abc.Callable[[], typing.Any]


async def wait_for(
    condition: Condition, what: str, bound: float = BOUND
) -> typing.Any:
    """Wait until ``condition`` returns something true, and return that.

    Parameters
    ----------
    condition : callable
        May be a coroutine function.
    what : str
        Names the condition when it does not come about.
    bound : float
        Seconds after which the test fails.
    """
    with trio.move_on_after(bound):
        while True:
            result = condition()
            if inspect.isawaitable(result):
                result = await result
            if result:
                return result
            await trio.sleep(POLL_INTERVAL)
    raise AssertionError(f'{what}: not so within {bound} s')


class Process:
    """One started process.

    Parameters
    ----------
    args : sequence of str
        Arguments for this Python interpreter.
    directory : Path
        Holds what it prints.
    """

    def __init__(
        self, args: collections.abc.Sequence[str], directory: pathlib.Path
    ) -> None:
        self.args = tuple(args)
        self._output = directory / 'stdout'
        self.errors = directory / 'stderr'
        with (
            self._output.open('wb') as stdout,
            self.errors.open('wb') as stderr,
        ):
            self._popen = subprocess.Popen(
                [sys.executable, *args], stdout=stdout, stderr=stderr
            )
        self.announced: dict[str, typing.Any] = {}

    @property
    def port(self) -> int:
        """TCP port that the process announced."""
        return int(self.announced['port'])

    @property
    def pid(self) -> int:
        """Number of the process."""
        return self._popen.pid

    @property
    def returncode(self) -> int | None:
        """Exit status, None while it runs."""
        return self._popen.poll()

    def output(self) -> str:
        """Return all that it printed so far."""
        return self._output.read_text()

    async def wait_announced(self) -> None:
        """Wait for the JSON object on its first line."""
        line = await wait_for(self._first_line, f'{self.args} announces')
        self.announced = orjson.loads(line)

    def _first_line(self) -> str | None:
        if self.returncode is not None:
            raise AssertionError(
                f'{self.args} ended with {self.returncode}: '
                f'{self.errors.read_text()}'
            )
        line, newline, _ = self.output().partition('\n')
        return line if newline else None

    def kill(self) -> None:
        """End it at once."""
        self._popen.kill()
        self._popen.wait()

    def terminate(self) -> None:
        """Ask it to end (SIGTERM)."""
        self._popen.terminate()

    def pause(self) -> None:
        """Freeze it (SIGSTOP)."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on (SIGCONT)."""
        self._popen.send_signal(signal.SIGCONT)

    async def wait_ended(self, bound: float = BOUND) -> int:
        """Wait until it ends, and return its exit status."""
        await wait_for(
            lambda: self.returncode is not None, f'{self.args} ends', bound
        )
        return self._popen.wait()


class Processes:
    """Starts processes in one directory."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._started: list[Process] = []

    async def start(self, *args: str) -> Process:
        """Start a process and wait until it announces its port."""
        process = self._spawn(args)
        await process.wait_announced()
        return process

    async def run(self, *args: str) -> Process:
        """Start a process and wait until it ends."""
        process = self._spawn(args)
        await process.wait_ended()
        return process

    def _spawn(self, args: tuple[str, ...]) -> Process:
        directory = self._directory / str(len(self._started))
        directory.mkdir()
        process = Process(args, directory)
        self._started.append(process)
        return process

    async def standin(self, kind: str, **options: typing.Any) -> Process:
        """Start a stand-in: ``kv``, ``engine`` or ``service``."""
        flags = [f'--{name}={value}' for name, value in options.items()]
        module = 'corianderloft._internal.standin'
        return await self.start('-m', module, kind, *flags)

    def kill_all(self) -> None:
        """End all processes that were started."""
        for process in self._started:
            process.kill()


@contextlib.asynccontextmanager
async def running() -> collections.abc.AsyncGenerator[Processes]:
    """Give a starter of processes; those are killed in the end."""
    with tempfile.TemporaryDirectory() as directory:
        started = Processes(pathlib.Path(directory))
        try:
            yield started
        finally:
            started.kill_all()
