"""Lines of the log that tell how old the view of the store is."""

import logging

from corianderloft._internal.gateway import view
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.platform import daemon
from corianderloft._internal.utils import clock
from tests.lib import gateway


def test_a_version_is_logged_with_age_source_and_gap(monkeypatch, caplog):
    now = [1000.0]
    monkeypatch.setattr(clock, 'now', lambda: now[0])
    caplog.set_level(logging.INFO)
    local_view = view.View(daemon.LAYOUT, 5.0)
    local_view.confirm(now[0])
    now[0] += 2.5
    local_view.confirm(now[0] - 0.4, 'h-1')
    value = gateway.configuration(version=7)
    item = kv.KeyValue('op/config', value, ids.Revision(2), 1)
    local_view.apply([kv.WatchEvent('op/config', item, ids.Revision(2))])
    line = next(
        r for r in caplog.records if r.message == 'declarations in force'
    )
    assert (line.age_s, line.source, line.gap_s) == (0.4, 'h-1', 2.5)
