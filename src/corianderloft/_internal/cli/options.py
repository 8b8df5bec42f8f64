"""Options shared by several commands."""

import os

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal import declarations
from corianderloft._internal.kernel import registry
from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.settings import kv as kv_settings
from corianderloft._internal.settings import load
from corianderloft._internal.settings import root
from corianderloft._internal.utils import checking
from corianderloft._internal.utils import urls

DEFAULT_KV_URL = 'http://127.0.0.1:2379'
"""Default URL of the key-value service."""

KV_VARIABLE = 'CORIANDERLOFT_KV'
"""Environment variable with its address, used without ``--kv``."""


def read_settings(path: str) -> root.Settings | output.Failure:
    """Return the settings in a file, or all errors in it."""
    loaded = load.load_settings(str(path))
    if isinstance(loaded, load.SettingsErrors):
        return invalid_input('settings', loaded.problems)
    unknown = declarations.check_settings(loaded, str(path))
    return invalid_input('settings', unknown) if unknown else loaded


def read_declarations(
    directory: str,
) -> declarations.Declarations | output.Failure:
    """Return the declarations in a directory tree, or all errors."""
    loaded = declarations.load_directory(str(directory))
    if isinstance(loaded, declarations.DeclarationErrors):
        return invalid_input('declarations', loaded.problems)
    return loaded


def kv_url(option: str) -> str:
    """Return the URL of the key-value service.

    An empty ``option`` falls back to the environment variable, then to the
    default.
    """
    address = str(option) or os.environ.get(KV_VARIABLE) or DEFAULT_KV_URL
    return urls.with_scheme(address)


def open_kv(
    url: str, client: str = 'etcd'
) -> kv_interface.KeyValueClient | output.Failure:
    """Return a client for the key-value service at a URL."""
    if not urls.is_origin(url):
        return output.Failure(
            exit_codes.ExitCode.USAGE,
            f'{url!r} is no key-value service; allowed: {urls.ALLOWED}',
        )
    factory = kv_interface.CLIENTS.find(client)
    if isinstance(factory, registry.UnknownPlugin):
        return output.Failure(exit_codes.ExitCode.USAGE, str(factory))
    settings = checking.check(
        kv_settings.KvSettings, {'endpoint': url}, '--kv'
    )
    if isinstance(settings, tuple):
        return invalid_input('--kv', settings)
    return factory(settings)


def read_count(value: object, option: str) -> int | output.Failure:
    """Return ``value`` if it is a non-negative integer, else a failure."""
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return value
    return output.Failure(
        exit_codes.ExitCode.USAGE,
        f'{option}={value} is wrong; allowed: a whole number from 0 on',
    )


def invalid_input(
    source: str, problems: tuple[checking.Problem, ...]
) -> output.Failure:
    """Return the failure that lists all errors in an input."""
    count = f'{len(problems)} mistake{"s" if len(problems) > 1 else ""}'
    return output.Failure(
        exit_codes.ExitCode.INVALID_INPUT,
        f'{count} in the {source}',
        tuple(map(str, problems)),
    )
