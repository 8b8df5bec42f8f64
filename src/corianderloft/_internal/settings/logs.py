"""Section ``logs``: format and level of the log."""

import typing

from corianderloft._internal.settings import base

Form = typing.Literal['json', 'human']
Level = typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR']


class LogSettings(base.Section):
    """Form and level of the log, which goes to standard error."""

    form: Form = base.setting(
        'json', 'One JSON object a line, or lines for people.'
    )
    level: Level = base.setting('INFO', 'Least severe level that is written.')
    outcomes: bool = base.setting(
        True, 'Whether each request leaves one line with its outcome.'
    )
