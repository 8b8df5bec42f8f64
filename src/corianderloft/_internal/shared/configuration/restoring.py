"""Finds changes of the configuration that a restored service has lost.

Hosts have applied a change that was confirmed. If the service comes back from
a copy without it, they write it back: nobody else would.
"""

import dataclasses
import logging

from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids
from corianderloft._internal.shared.configuration import edit
from corianderloft._internal.shared.configuration import layout
from corianderloft._internal.shared import mirror

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Writes that are applied together if no key has changed meanwhile."""

    compares: tuple[kv_interface.Compare, ...]
    operations: tuple[kv_interface.Put | kv_interface.Delete, ...]


def find_lost_changes(
    copy: mirror.Mirror, found: kv_interface.Found
) -> tuple[Transaction, ...]:
    """Return the transactions that bring back what the service has lost.

    The head is written by the last one, so that hosts take all of it at once.

    Parameters
    ----------
    copy : Mirror
        The configuration as applied by this host.
    found : Found
        The configuration as read from the service.
    """
    own_value = copy.value(layout.HEAD_KEY)
    era = eras.era_of(found.revision)
    if own_value is None or era <= eras.era_of(copy.revision):
        return ()
    stored = {item.key: item for item in found.items}
    own = layout.HEAD.validate_json(own_value)
    stored_head = stored.get(layout.HEAD_KEY)
    if stored_head is not None:
        head = layout.HEAD.validate_json(stored_head.value)
        if head.change_id == own.change_id:
            return ()
        edited = eras.era_of(head.previous) == era
        if edited or head.sequence >= own.sequence:
            logger.error(
                'change %s of %s was lost in a restore of the key-value'
                ' service and not written back: change %s of %s came first',
                own.change_id,
                own.author,
                head.change_id,
                head.author,
            )
            return ()
    return _transactions(copy, stored, own)


def _transactions(
    copy: mirror.Mirror,
    stored: dict[str, kv_interface.KeyValue],
    own: layout.Head,
) -> tuple[Transaction, ...]:
    values = copy.values()
    head_value = values.pop(layout.HEAD_KEY)
    differing = sorted(
        key
        for key in {*values, *stored} - {layout.HEAD_KEY}
        if key not in stored or values.get(key) != stored[key].value
    )
    batches = [
        differing[start : start + edit.MAX_KEYS_PER_TRANSACTION]
        for start in range(0, len(differing), edit.MAX_KEYS_PER_TRANSACTION)
    ] or [[]]
    logger.warning(
        'the key-value service has lost change %s; writing it back',
        own.change_id,
        extra={'sequence': own.sequence, 'keys': len(differing)},
    )
    transactions = [
        Transaction(
            tuple(_compare(key, stored) for key in (layout.HEAD_KEY, *batch)),
            tuple(_operation(key, values.get(key)) for key in batch),
        )
        for batch in batches
    ]
    head = (
        kv_interface.Put(layout.history_key(own.sequence), head_value),
        kv_interface.Put(layout.HEAD_KEY, head_value),
    )
    last = transactions[-1]
    transactions[-1] = dataclasses.replace(
        last, operations=(*last.operations, *head)
    )
    return tuple(transactions)


def _compare(
    key: str, stored: dict[str, kv_interface.KeyValue]
) -> kv_interface.Compare:
    item = stored.get(key)
    return kv_interface.Compare(
        key, item.mod_revision if item else ids.Revision(0)
    )


def _operation(
    key: str, value: bytes | None
) -> kv_interface.Put | kv_interface.Delete:
    if value is None:
        return kv_interface.Delete(key)
    return kv_interface.Put(key, value)
