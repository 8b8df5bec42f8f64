"""Schema of declaration files, validated by pydantic."""

import typing

import pydantic

from corianderloft._internal.models import states
from corianderloft._internal.settings import base

MAX_TIER = 15
MAX_OUTPUT_TOKENS = 1_000_000
MAX_WEIGHT = 10_000

Name = typing.Annotated[
    str, pydantic.StringConstraints(pattern='^[a-z0-9][a-z0-9._-]{0,62}$')
]
KeyHash = typing.Annotated[
    str, pydantic.StringConstraints(pattern='^[0-9a-f]{64}$')
]
ParameterValue = bool | int | float | str


class Parameter(base.Section):
    """A template parameter, which each workspace may set."""

    default: ParameterValue = base.setting(..., 'Value unless set.')
    description: str = base.setting('', 'What it is for.')
    minimum: float | None = base.setting(None, 'Smallest value allowed.')
    maximum: float | None = base.setting(None, 'Largest value allowed.')
    choices: list[ParameterValue] | None = base.setting(
        None, 'The only values allowed.'
    )


class ClassDeclaration(base.Section):
    """One class of requests."""

    tier: int = base.setting(
        ..., 'Priority; 0 is served first.', ge=0, le=MAX_TIER
    )
    first_token_target_s: float = base.setting(
        1.9,
        'Target for the first token, or for the whole answer of a plain'
        ' service.',
        's',
        gt=0,
        le=3600,
    )
    token_gap_target_s: float = base.setting(
        0.036, 'Target between tokens.', 's', gt=0, le=60
    )
    deadline_s: float = base.setting(
        30.0,
        'Time after arrival when a request that has not started is refused.',
        's',
        gt=0,
        le=3600,
    )
    idempotent: bool = base.setting(
        True, 'Whether a request may be sent to a second backend server.'
    )
    max_tokens: int = base.setting(
        4096,
        'Largest answer a request may ask for.',
        'tokens',
        ge=1,
        le=MAX_OUTPUT_TOKENS,
    )


class RouteDeclaration(base.Section):
    """One supplier that may serve a service."""

    supplier: str = base.setting(
        ..., 'Supplier, as its backend servers announce it.', min_length=1
    )
    model: str = base.setting(
        ..., 'Model version that must be loaded.', min_length=1
    )
    weight: int = base.setting(
        1,
        'Share of the traffic among routes of the same order; 0 stops new'
        ' work.',
        ge=0,
        le=MAX_WEIGHT,
    )
    order: int = base.setting(
        0, 'Routes of a lower order are used first.', ge=0, le=100
    )


class ServiceDeclaration(base.Section):
    """Template of one service, after parameter substitution."""

    kind: states.ServiceKind = base.setting(
        ..., 'Model engines or a plain service.'
    )
    classes: dict[Name, ClassDeclaration] = base.setting(
        ..., 'Classes that the service accepts.', min_length=1
    )
    routes: list[RouteDeclaration] = base.setting(
        ..., 'Suppliers that may serve it.', min_length=1
    )
    fencing: states.FencingSupport = base.setting(
        states.FencingSupport.IGNORED,
        'Whether its engines check fencing numbers of orders.',
    )
    balancer: str = base.setting('default', 'Name of the plug-in.')
    queue_policy: str = base.setting('default', 'Name of the plug-in.')
    limiter: str = base.setting('default', 'Name of the plug-in.')
    retry_rule: str = base.setting('default', 'Name of the plug-in.')


class LimitsDeclaration(base.Section):
    """Limits of a workspace across all hosts."""

    requests_per_second: float | None = base.setting(
        None, 'Bound on the rate of new requests.', 'requests/s', gt=0
    )
    tokens_per_second: float | None = base.setting(
        None, 'Bound on estimated tokens.', 'tokens/s', gt=0
    )
    weight: int = base.setting(
        1,
        'Share inside a tier against other workspaces.',
        ge=1,
        le=MAX_WEIGHT,
    )


class UseDeclaration(base.Section):
    """Parameter values of a workspace for one service."""

    parameters: dict[str, ParameterValue] = base.setting(
        {}, "Values for the parameters of the service's template."
    )


class WorkspaceDeclaration(base.Section):
    """One workspace."""

    key_hashes: list[KeyHash] = base.setting(
        ..., 'SHA-256 of each key its callers present, from `key new`.'
    )
    services: dict[Name, UseDeclaration | None] = base.setting(
        ..., 'Services that its callers may use.'
    )
    classes: list[Name] = base.setting(
        [], 'Classes that its callers may send; empty means all.'
    )
    limits: LimitsDeclaration = base.setting(
        LimitsDeclaration(), 'Bounds that hold across hosts.'
    )


class DeclarationFile(base.Section):
    """One file; services are validated after parameter substitution."""

    services: dict[Name, dict[str, typing.Any]] = base.setting(
        {}, 'Templates by the name of their service.'
    )
    workspaces: dict[Name, WorkspaceDeclaration] = base.setting(
        {}, 'Workspaces by name.'
    )
