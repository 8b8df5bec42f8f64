"""The settings with all their sections."""

from corianderloft._internal.settings import backends as _backends
from corianderloft._internal.settings import base
from corianderloft._internal.settings import callers as _callers
from corianderloft._internal.settings import configuration as _configuration
from corianderloft._internal.settings import decisions as _decisions
from corianderloft._internal.settings import host as _host
from corianderloft._internal.settings import kv as _kv
from corianderloft._internal.settings import logs as _logs
from corianderloft._internal.settings import operators as _operators
from corianderloft._internal.settings import peers as _peers


class Settings(base.Section):
    """Settings of one entry host."""

    host: _host.HostSettings
    callers: _callers.CallerSettings = _callers.CallerSettings()
    operators: _operators.OperatorSettings = _operators.OperatorSettings()
    backends: _backends.BackendSettings = _backends.BackendSettings()
    kv: _kv.KvSettings = _kv.KvSettings()
    peers: _peers.PeerSettings = _peers.PeerSettings()
    configuration: _configuration.ConfigurationSettings = (
        _configuration.ConfigurationSettings()
    )
    decisions: _decisions.DecisionSettings = _decisions.DecisionSettings()
    logs: _logs.LogSettings = _logs.LogSettings()
