"""Query of a caller that asks which addresses to use."""

import urllib.parse

from corianderloft._internal.models import ids


def decode_domain(query: bytes) -> ids.FailureDomain | None:
    """Return the failure domain of the caller, or None if it is missing."""
    fields = dict(urllib.parse.parse_qsl(query.decode('latin-1')))
    zone = fields.get('zone')
    return ids.FailureDomain(zone) if zone else None
