"""Tests of the HTML report."""

import pathlib

import orjson
import pytest

from corianderloft._internal.load import measures
from corianderloft._internal.load import outcomes
from corianderloft._internal.load import schedule
from corianderloft._internal.load import workload
from corianderloft._internal import report


def load_run() -> dict[str, object]:
    """Return a run of one class with a complete and a refused request."""
    load_class = workload.LoadClass(name='<groom>', service='s', rate=1)
    measured = measures.ClassMeasures(load_class, duration=2)
    for arrival_s, kind in ((0.5, 'complete'), (1.5, 'refused')):
        outcome = outcomes.Outcome(
            schedule.Arrival(arrival_s, load_class, 0, 1, 1)
        )
        outcome.kind = outcomes.OutcomeKind(kind)
        outcome.token_times = [0.1, 0.12]
        measured.record(outcome)
    return {
        'kind': 'load',
        'workload': 'trial',
        'seed': 3,
        'duration_s': 2.0,
        'scheduled': 2,
        'classes': [measured.to_json()],
        'waste': {'wasted_fraction': 0.25},
        'bookings': None,
    }


def test_page_contains_every_run_and_is_self_contained(
    tmp_path: pathlib.Path,
) -> None:
    paths = [tmp_path / 'load.json', tmp_path / 'bench.json']
    paths[0].write_bytes(orjson.dumps(load_run()))
    bench = report.BenchRun('relay', 'make bench-relay', [{'p99': 1.5}])
    bench.save(paths[1])
    written = report.write_report(paths, tmp_path / 'report.html')
    assert isinstance(written, pathlib.Path)
    page = written.read_text()
    assert page.count('<svg') == 4
    assert '&lt;groom&gt;' in page and '<groom>' not in page
    assert 'p99' in page and 'make bench-relay' in page and 'src=' not in page


@pytest.mark.parametrize('content', [b'[]', b'{"kind": "other"}', b'{'])
def test_invalid_run_file_is_named(
    tmp_path: pathlib.Path, content: bytes
) -> None:
    path = tmp_path / 'odd.json'
    path.write_bytes(content)
    problem = report.write_report([path], tmp_path / 'report.html')
    assert isinstance(problem, report.ReportProblem)
    assert 'odd.json' in problem.detail
