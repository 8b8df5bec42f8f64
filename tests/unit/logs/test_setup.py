"""Tests of the log formats."""

import io
import json
import logging

import trio

from corianderloft._internal import logs
from corianderloft._internal.models import ids
from corianderloft._internal.settings import logs as logs_settings

LINE = logs.RequestLine(
    request_id=ids.RequestId('r-1'),
    workspace=ids.WorkspaceId('w'),
    service=ids.ServiceName('s'),
    class_name=ids.ClassName('c'),
    tier=ids.Tier(0),
    outcome='answered',
    run='ran',
    engine=ids.EngineId('e-1'),
    attempts=2,
    queued=0.1,
    first_token=0.2,
    total=0.3,
    tokens=4,
)


def _log_output(log_format: logs_settings.Form) -> str:
    stream = io.StringIO()
    settings = logs_settings.LogSettings(form=log_format)
    logs.configure(settings, stream)
    logs.log_outcome(LINE)
    return stream.getvalue()


def test_json_lines_contain_all_fields() -> None:
    entry = json.loads(_log_output('json'))
    assert entry['request_id'] == 'r-1'
    assert entry['level'] == 'INFO'
    assert entry['outcome'] == 'answered'
    assert entry['attempts'] == 2


def test_human_lines_contain_all_fields() -> None:
    line = _log_output('human')
    assert ' r-1 ' in line
    assert 'engine=e-1' in line
    assert line.count('\n') == 1


async def test_child_tasks_log_the_request_id() -> None:
    stream = io.StringIO()
    logs.configure(logs_settings.LogSettings(), stream)
    logger = logging.getLogger('corianderloft.test')

    async def child() -> None:
        logger.info('in a child')

    logs.REQUEST_ID.set('r-9')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(child)
    assert json.loads(stream.getvalue())['request_id'] == 'r-9'
