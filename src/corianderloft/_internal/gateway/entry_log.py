"""Log lines on the entries of servers and hosts in the store."""

import collections.abc
import logging

from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv

logger = logging.getLogger(__name__)

MAX_LOGGED_CHANGES = 8
"""Changes that arrived together and are logged in a line each; more of them
are logged in one line."""


def log_unreadable(item: kv.KeyValue) -> None:
    """Log an entry that names nothing, as it cannot be decoded."""
    logger.warning(
        'entry ignored: it cannot be read',
        extra=eras.log_fields(item.mod_revision) | {'key': item.key},
    )


def log_changes(
    noun: str,
    old: collections.abc.Mapping[str, object],
    new: collections.abc.Mapping[str, object],
    view_fields: collections.abc.Mapping[str, object],
) -> None:
    """Log the entries that differ, a line each unless there are many."""
    changed = [
        key for key in old.keys() | new.keys() if old.get(key) != new.get(key)
    ]
    if len(changed) > MAX_LOGGED_CHANGES:
        logger.info(
            '%ss changed',
            noun,
            extra={
                **view_fields,
                'count': len(changed),
                'known': len(new),
                'keys': sorted(changed)[:MAX_LOGGED_CHANGES],
            },
        )
        return
    for key in changed:
        logger.info(
            '%s changed',
            noun,
            extra={
                **view_fields,
                'key': key,
                'entry': str(new.get(key, 'gone')),
            },
        )
