"""Runs of the load generator and of benches, as they were written."""

import dataclasses
import pathlib
import typing

import orjson

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class ReportProblem:
    """Why a report can't be made."""

    detail: str


@dataclasses.dataclass(frozen=True)
class LoadRun:
    """One run of the load generator: the payload of its report."""

    title: str
    payload: Json

    @property
    def classes(self) -> list[Json]:
        """Measures of each class."""
        return list(self.payload['classes'])


@dataclasses.dataclass(frozen=True)
class BenchRun:
    """One run of a bench: the rows of its table.

    Its file holds ``{"kind": "bench", "title", "command", "rows": [{}]}``.
    """

    title: str
    command: str
    rows: list[Json]

    def save(self, path: pathlib.Path) -> None:
        """Write the run to a file; raises `OSError`."""
        body = {'kind': 'bench'} | dataclasses.asdict(self)
        path.write_bytes(orjson.dumps(body))


Run = LoadRun | BenchRun


def read_run(path: pathlib.Path) -> Run | ReportProblem:
    """Read one run."""
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
