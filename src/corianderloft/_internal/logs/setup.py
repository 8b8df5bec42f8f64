"""Configures ``logging`` from the settings."""

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
        Format and level.
    stream : file, optional
        Standard error by default.

    Returns
    -------
    Handler
        The installed handler; a second call replaces it.
    """
    handler = logging.StreamHandler(stream)
    handlers.install_handler(handler, settings.level, settings.form)
    return handler
