"""Set-up of ``logging`` from the settings."""

import logging
import typing

from corianderloft._internal.logs import handlers

if typing.TYPE_CHECKING:
    from corianderloft._internal.settings import logs


def configure(
    settings: 'logs.LogSettings', stream: typing.TextIO | None = None
) -> logging.Handler:
    """Send the log of this process to a stream.

    Parameters
    ----------
    settings : LogSettings
        Form and level.
    stream : file, optional
        Standard error unless given.

    Returns
    -------
    Handler
        The handler in place; a second call replaces it.
    """
    handler = logging.StreamHandler(stream)
    handlers.use_handler(handler, settings.level, settings.form)
    return handler
