"""What a host of the gateway imports: each start and restart pays for it."""

import subprocess
import sys

import pytest

NEEDLESS = (
    'capnp',
    'corianderloft._internal.caller',
    'corianderloft._internal.kv.etcd',
    'corianderloft._internal.shared.state',
    'fire',
    'pydantic',
)


@pytest.fixture(scope='module')
def imported():
    """Return the modules of a process that runs a host."""
    done = subprocess.run(
        [
            sys.executable,
            '-c',
            'import sys\n'
            'import corianderloft._internal.platform.daemon\n'
            'print(*sys.modules)',
        ],
        capture_output=True,
        check=True,
        text=True,
    )
    return set(done.stdout.split())


@pytest.mark.parametrize('name', NEEDLESS)
def test_a_host_imports_nothing_that_it_does_not_use(imported, name):
    assert name not in imported
