"""Stand-ins for the platform, for tests, benchmarks and the demo."""

from corianderloft._internal.standin.engine.server import serve_engine
from corianderloft._internal.standin.kv.server import serve_kv
from corianderloft._internal.standin.service.server import serve_service
from corianderloft._internal.standin.settings import EngineSettings
from corianderloft._internal.standin.settings import KvSettings
from corianderloft._internal.standin.settings import ServiceSettings

__all__ = [
    'EngineSettings',
    'KvSettings',
    'ServiceSettings',
    'serve_engine',
    'serve_kv',
    'serve_service',
]
