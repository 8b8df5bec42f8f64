"""Results of claims that do not lead to a call."""

import base64

from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.shared.claims import records
from corianderloft._internal.shared import interface

RETRY_AFTER_S = 1.0


def stored_response(
    record: records.ClaimRecord,
) -> interface.AlreadyDone | requests.Refused:
    """Return the result for a call whose response is stored."""
    if not record.body_kept:
        return requests.Refused(
            reasons.RefusalReason.TOO_LARGE,
            states.RunState.RAN,
            f'the call ran with status {record.status};'
            ' its answer was too long to keep',
        )
    return interface.AlreadyDone(
        record.status, record.content_type, base64.b64decode(record.body)
    )


def unavailable(detail: str) -> requests.Refused:
    """Return the refusal of a call that could not be claimed."""
    return requests.Refused(
        reasons.RefusalReason.CLAIM_UNAVAILABLE,
        states.RunState.NOT_RUN,
        detail,
        RETRY_AFTER_S,
    )
