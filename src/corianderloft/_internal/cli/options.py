"""Options that several commands share, checked once."""

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

DEFAULT_KV = 'http://127.0.0.1:2379'
"""Address of the key-value service unless another is named."""

KV_VARIABLE = 'CORIANDERLOFT_KV'
"""Environment variable that names it where ``--kv`` is not given."""


def read_settings(path: str) -> root.Settings | output.Failure:
    """Return the settings in a file, or every mistake in it."""
    loaded = load.load_settings(str(path))
    if isinstance(loaded, load.SettingsErrors):
        return mistakes('settings', loaded.problems)
    unknown = declarations.check_settings(loaded, str(path))
    return mistakes('settings', unknown) if unknown else loaded


def read_declarations(
    directory: str,
) -> declarations.Declarations | output.Failure:
    """Return the declarations below a directory, or every mistake."""
    loaded = declarations.load_directory(str(directory))
    if isinstance(loaded, declarations.DeclarationErrors):
        return mistakes('declarations', loaded.problems)
    return loaded


def kv_url(option: str) -> str:
    """Return the URL of the key-value service that ``--kv`` names."""
    named = str(option) or os.environ.get(KV_VARIABLE) or DEFAULT_KV
    return urls.with_scheme(named)


def open_kv(
    url: str, client: str = 'etcd'
) -> kv_interface.KeyValueClient | output.Failure:
    """Return a client of the key-value service at a URL."""
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
        return mistakes('--kv', settings)
    return factory(settings)


def read_count(value: object, option: str) -> int | output.Failure:
    """Return a whole number from 0 on, as the command line gave it."""
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return value
    return output.Failure(
        exit_codes.ExitCode.USAGE,
        f'{option}={value} is wrong; allowed: a whole number from 0 on',
    )


def mistakes(
    what: str, problems: tuple[checking.Problem, ...]
) -> output.Failure:
    """Return the failure that lists every mistake in what was read."""
    count = f'{len(problems)} mistake{"s" if len(problems) > 1 else ""}'
    return output.Failure(
        exit_codes.ExitCode.INVALID_INPUT,
        f'{count} in the {what}',
        tuple(map(str, problems)),
    )
