"""Names of headers and keys on the platform."""

ATTEMPT_ID = b'corianderloft-attempt-id'
DEADLINE = b'corianderloft-deadline-ms'
TARGET = b'corianderloft-target-instance'
WORKSPACE = b'corianderloft-tenant'
PRIORITY = b'corianderloft-request-priority'
TOKENS = b'corianderloft-token-usage'
PREFIX = b'corianderloft-prefix-hash'
SIGNATURE = b'corianderloft-response-signature'
NOT_RUN = b'corianderloft-not-executed'
LOAD = b'corianderloft-engine-load'
RESUME_AFTER = b'last-event-id'

SET_BY_SYSTEM = frozenset(
    (
        TARGET,
        WORKSPACE,
        PRIORITY,
        DEADLINE,
        b'corianderloft-hold',
        b'corianderloft-pin-ms',
        b'corianderloft-kv-backup',
        b'corianderloft-expect-version',
        b'kv-from',
        b'kv-fetch',
    )
)
"""Headers that a caller cannot set."""

CONFIGURATION_KEY = 'op/config'
INSTANCES_PREFIX = 'servers/'
HOSTS_PREFIX = 'hosts/'

LAST_URGENCY = 9
"""Priorities of an engine run from 0, the first, to 9."""
