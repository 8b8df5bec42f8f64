"""Section ``host``: identity and place of this host."""

from corianderloft._internal.settings import base


class HostSettings(base.Section):
    """Identity and place of this host."""

    host_id: str = base.setting(..., 'Identity of the host.')
    address: str = base.setting('127.0.0.1', 'IP number of the host.')
    failure_domain: str = base.setting('fd-1', 'Failure domain it stands in.')
    region: str = base.setting('region-1', 'Region it stands in.')
