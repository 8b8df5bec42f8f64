"""All sections together."""

from corianderloft._internal.settings import base
from corianderloft._internal.settings import callers
from corianderloft._internal.settings import configuration
from corianderloft._internal.settings import decisions
from corianderloft._internal.settings import host
from corianderloft._internal.settings import kv
from corianderloft._internal.settings import logs
from corianderloft._internal.settings import operators
from corianderloft._internal.settings import peers


class Settings(base.Section):
    """Settings of one entry host."""

    host: host.HostSettings
    callers: callers.CallerSettings = callers.CallerSettings()
    operators: operators.OperatorSettings = operators.OperatorSettings()
    kv: kv.KvSettings = kv.KvSettings()
    peers: peers.PeerSettings = peers.PeerSettings()
    configuration: configuration.ConfigurationSettings = (
        configuration.ConfigurationSettings()
    )
    decisions: decisions.DecisionSettings = decisions.DecisionSettings()
    logs: logs.LogSettings = logs.LogSettings()
