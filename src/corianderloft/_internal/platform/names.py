"""Names of HTTP headers and store keys on the users' platform."""

ATTEMPT_ID = b'corianderloft-attempt-id'
DEADLINE = b'corianderloft-deadline-ms'
TARGET_INSTANCE = b'corianderloft-target-instance'
WORKSPACE = b'corianderloft-tenant'
PRIORITY = b'corianderloft-request-priority'
TOKEN_USAGE = b'corianderloft-token-usage'
PREFIX_HASH = b'corianderloft-prefix-hash'
SIGNATURE = b'corianderloft-response-signature'
NOT_RUN = b'corianderloft-not-executed'
ENGINE_LOAD = b'corianderloft-engine-load'
SERVER_LIMIT = b'server-limit'
SERVER_LEAVING = b'server-leaving'
RETRY_AFTER = b'retry-after'
RESUME_AFTER = b'last-event-id'

DUTY_HOLDER = b'corianderloft-duty-holder'
FENCING_TOKEN = b'corianderloft-fencing-token'

SYSTEM_HEADERS = frozenset(
    (
        TARGET_INSTANCE,
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

STORE_ERA = b'store-era'

CONFIGURATION_KEY = 'op/config'
INSTANCES_PREFIX = 'servers/'
HOSTS_PREFIX = 'hosts/'
CRASHES_PREFIX = 'crashes/'
DUTIES_PREFIX = 'duties/'

LOWEST_PRIORITY = 9
"""Engine priorities range from 0, which is served first, to 9."""
