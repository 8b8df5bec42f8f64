"""Starts, pauses, resumes and kills processes for tests."""

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

POLL_INTERVAL_S = 0.02
TIMEOUT_S = 30.0

Condition = collections.abc.Callable[[], typing.Any]


async def wait_for(
    condition: Condition, what: str, timeout_s: float = TIMEOUT_S
) -> typing.Any:
    """Poll ``condition`` until its result is true, and return the result.

    Parameters
    ----------
    condition : callable
        Function or coroutine function without arguments.
    what : str
        Description of the condition for the error message.
    timeout_s : float
        Seconds after which the test fails.

    Raises
    ------
    AssertionError
        If the condition is not met in time.
    """
    with trio.move_on_after(timeout_s):
        while True:
            result = condition()
            if inspect.isawaitable(result):
                result = await result
            if result:
                return result
            await trio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f'timed out after {timeout_s} s: {what}')


class Process:
    """A Python process.

    Parameters
    ----------
    args : sequence of str
        Arguments of the Python interpreter.
    directory : Path
        Directory for the files with its output.
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
        """TCP port that the process announced on its standard output."""
        return int(self.announced['port'])

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def returncode(self) -> int | None:
        """Exit status; None while the process is running."""
        return self._popen.poll()

    def output(self) -> str:
        """Return the standard output so far."""
        return self._output.read_text()

    async def wait_announced(self) -> None:
        """Wait for the JSON object on the first line of output."""
        line = await wait_for(
            self._first_line, f'{self.args} announces its port'
        )
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
        """Kill the process (SIGKILL) and wait for its end."""
        self._popen.kill()
        self._popen.wait()

    def terminate(self) -> None:
        """Request a clean shutdown (SIGTERM)."""
        self._popen.terminate()

    def pause(self) -> None:
        """Pause the process (SIGSTOP)."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process (SIGCONT)."""
        self._popen.send_signal(signal.SIGCONT)

    async def wait_ended(self, timeout_s: float = TIMEOUT_S) -> int:
        """Wait until the process ends and return its exit status."""
        await wait_for(
            lambda: self.returncode is not None, f'{self.args} ends', timeout_s
        )
        return self._popen.wait()


class Processes:
    """Starts processes with their output below one directory."""

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
        """Kill all started processes."""
        for process in self._started:
            process.kill()


@contextlib.asynccontextmanager
async def running() -> collections.abc.AsyncGenerator[Processes]:
    """Provide a `Processes` whose processes are killed at the end."""
    with tempfile.TemporaryDirectory() as directory:
        started = Processes(pathlib.Path(directory))
        try:
            yield started
        finally:
            started.kill_all()
