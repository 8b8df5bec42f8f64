"""Reasons for refusals and retries; each member has a metrics counter."""

import enum


class RefusalReason(enum.Enum):
    """Why a request was refused."""

    UNKNOWN_KEY = 'unknown_key'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_CLASS = 'unknown_class'
    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    TOO_SLOW = 'too_slow'
    NO_MEMORY = 'no_memory'
    NO_CONNECTION = 'no_connection'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    WORKSPACE_LIMIT = 'workspace_limit'
    CLASS_LIMIT = 'class_limit'
    QUEUE_FULL = 'queue_full'
    SHED_FOR_HIGHER_TIER = 'shed_for_higher_tier'
    DEADLINE = 'deadline'
    NO_BACKEND = 'no_backend'
    DRAINING = 'draining'
    STALE_CONFIGURATION = 'stale_configuration'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    CLAIM_IN_PROGRESS = 'claim_in_progress'
    KEY_REUSED = 'key_reused'
    CRASHES_BACKENDS = 'crashes_backends'
    RETRIES_EXHAUSTED = 'retries_exhausted'
    BACKEND_ERROR = 'backend_error'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CANCELLED = 'cancelled'


class RetryReason(enum.Enum):
    """Why a request was sent to another backend server."""

    CONNECT_FAILED = 'connect_failed'
    CONNECTION_LOST = 'connection_lost'
    SILENT = 'silent'
    BACKEND_REFUSED = 'backend_refused'
    BACKEND_ERROR = 'backend_error'
    RESUME = 'resume'
    HEDGE = 'hedge'


class RetryRefusalReason(enum.Enum):
    """Why a failed request was not sent again."""

    NOT_IDEMPOTENT = 'not_idempotent'
    BUDGET = 'budget'
    DEADLINE = 'deadline'
    ATTEMPTS = 'attempts'
    NO_OTHER_BACKEND = 'no_other_backend'
    CRASHES_BACKENDS = 'crashes_backends'
