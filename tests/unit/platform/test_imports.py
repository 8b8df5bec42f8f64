"""Tests that a gateway host imports only the modules that it uses.

Each unused module makes every start and restart of a host slower.
"""

import subprocess
import sys

import pytest

UNUSED_MODULES = (
    'capnp',
    'corianderloft._internal.caller',
    'corianderloft._internal.kv.etcd',
    'corianderloft._internal.shared.state',
    'fire',
    'pydantic',
)


@pytest.fixture(scope='module')
def imported():
    """Return the names of the modules that a gateway host imports."""
    process = subprocess.run(
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
    return set(process.stdout.split())


@pytest.mark.parametrize('name', UNUSED_MODULES)
def test_host_does_not_import_unused_module(imported, name):
    assert name not in imported
