"""Loading of the settings of a process."""

import dataclasses
import os
import pathlib

from corianderloft._internal.settings import root
from corianderloft._internal.utils import checking
from corianderloft._internal.utils import yaml_files


@dataclasses.dataclass(frozen=True)
class SettingsErrors:
    """All errors found in a settings file."""

    problems: tuple[checking.Problem, ...]

    def __str__(self) -> str:
        return '\n'.join(map(str, self.problems))


def load_settings(
    path: str | os.PathLike[str],
) -> root.Settings | SettingsErrors:
    """Read and validate a settings file.

    Parameters
    ----------
    path : path
        YAML file.

    Returns
    -------
    Settings or SettingsErrors
        The settings, or all errors, each with the file, the key path, the
        allowed values and the closest known key.
    """
    data = yaml_files.read_yaml(pathlib.Path(path))
    if isinstance(data, checking.Problem):
        return SettingsErrors((data,))
    checked = checking.check(root.Settings, data, os.fspath(path))
    if isinstance(checked, tuple):
        return SettingsErrors(checked)
    return checked
