"""Recorded runs of the load generator and of benchmarks."""

import dataclasses
import pathlib
import typing

import orjson

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class ReportProblem:
    """Reason why a report could not be written."""

    detail: str


@dataclasses.dataclass(frozen=True)
class LoadRun:
    """A run of the load generator, with the payload of its report."""

    title: str
    payload: Json

    @property
    def classes(self) -> list[Json]:
        """Measurements of each class."""
        return list(self.payload['classes'])


@dataclasses.dataclass(frozen=True)
class BenchRun:
    """A run of a benchmark, with the rows of its table.

    The file format is ``{"kind": "bench", "title", "command", "rows": [{}]}``.
    """

    title: str
    command: str
    rows: list[Json]

    def save(self, path: pathlib.Path) -> None:
        """Write the run to a file.

        Raises
        ------
        OSError
            If the file cannot be written.
        """
        body = {'kind': 'bench'} | dataclasses.asdict(self)
        path.write_bytes(orjson.dumps(body))


Run = LoadRun | BenchRun


def read_run(path: pathlib.Path) -> Run | ReportProblem:
    """Read a recorded run."""
    try:
        body = orjson.loads(path.read_bytes())
    except (OSError, orjson.JSONDecodeError) as exc:
        return ReportProblem(f'run {str(path)!r}: {exc}')
    kind = body.get('kind') if isinstance(body, dict) else None
    if kind == 'load' and 'classes' in body:
        return LoadRun(f"{body.get('workload')} ({path.name})", body)
    if kind == 'bench' and 'rows' in body:
        return BenchRun(
            str(body.get('title', path.name)),
            str(body.get('command', '')),
            body['rows'],
        )
    return ReportProblem(
        f'run {str(path)!r}: neither a load run nor a bench run'
    )
