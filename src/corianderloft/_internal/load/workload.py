"""Workloads in YAML: classes of requests with rates, swings and lengths."""

import dataclasses
import enum
import ipaddress
import pathlib

import pydantic
import yaml

from corianderloft._internal.settings import base


@dataclasses.dataclass(frozen=True)
class LoadProblem:
    """Reason why a load run cannot start."""

    detail: str


class CallKind(enum.Enum):
    """Kind of call that a class of requests makes."""

    CHAT = 'chat'
    BOOKING = 'booking'
    STOCK = 'stock'


class Lengths(base.Section):
    """Bounded lognormal distribution of lengths (heavy tail)."""

    median: float = base.setting(..., 'Half are shorter.', 'tokens', gt=0)
    sigma: float = base.setting(
        0.8, 'Spread of the logarithm; 0 makes all equal.', ge=0, le=4
    )
    most: int = base.setting(4096, 'Bound on a length.', 'tokens', gt=0)


class Swing(base.Section):
    """Period in which the rate of a class is multiplied."""

    start: float = base.setting(..., 'Start in the run.', 's', ge=0)
    duration: float = base.setting(..., 'Length of the swing.', 's', gt=0)
    factor: float = base.setting(..., 'Multiplies the rate.', ge=0, le=100)


class LoadClass(base.Section):
    """Settings of one class of requests."""

    name: str = base.setting(..., 'Name in the report.')
    service: str = base.setting(..., 'Service that is called.')
    class_name: str = base.setting('', 'Class sent; the name unless given.')
    key: str = base.setting('', 'Workspace key that callers present.')
    call: CallKind = base.setting(CallKind.CHAT, 'What is called.')
    model: str = base.setting('', 'Model that is asked for.')
    rate: float = base.setting(..., 'Mean rate.', 'requests/s', gt=0, le=10000)
    swings: tuple[Swing, ...] = base.setting((), 'Changes of the rate.')
    callers: int = base.setting(
        8, 'Callers, each with an address answer of its own.', ge=1, le=1000
    )
    prompt: Lengths = base.setting(
        Lengths(median=200), 'Lengths of prompts in tokens.'
    )
    answer: Lengths = base.setting(
        Lengths(median=40), 'Lengths of answers in tokens.'
    )
    shared_prompt_tokens: int = base.setting(
        0, 'Leading part that all prompts of the class share.', 'tokens', ge=0
    )
    stream: bool = base.setting(True, 'Whether answers are streamed.')
    first_token_target: float = base.setting(
        1.9, 'Target for the first token or a whole plain answer.', 's', gt=0
    )
    token_gap_target: float = base.setting(
        0.036, 'Target for the mean gap between tokens.', 's', gt=0
    )
    resume: bool = base.setting(
        True,
        'Whether a caller that lost its connection goes on: a stream at its '
        'next token, a booking under its idempotency key.',
    )
    silence: float = base.setting(
        10.0,
        'Time without a token after which a stream is taken for lost.',
        's',
        gt=0,
    )
    timeout: float = base.setting(
        30.0, 'Time after which a caller gives up.', 's', gt=0, le=600
    )


class Workload(base.Section):
    """Settings of a load run."""

    name: str = base.setting('workload', 'Name in the report.')
    seed: int = base.setting(0, 'Seed of arrivals and lengths.', ge=0)
    duration: float = base.setting(
        10.0, 'Time in which requests arrive.', 's', gt=0, le=600
    )
    max_requests: int = base.setting(
        10000, 'Bound on all requests.', ge=1, le=1000000
    )
    max_in_flight: int = base.setting(
        1000, 'Requests beyond this are not sent, and counted.', ge=1, le=5000
    )
    classes: tuple[LoadClass, ...] = base.setting(
        ..., 'Classes of requests.', min_length=1
    )


def read_workload(path: pathlib.Path) -> Workload | LoadProblem:
    """Read a workload from a YAML file."""
    try:
        with path.open(encoding='utf-8') as file:
            return Workload.model_validate(yaml.safe_load(file))
    except (OSError, yaml.YAMLError, pydantic.ValidationError) as exc:
        return LoadProblem(f'workload {str(path)!r}: {exc}')


@dataclasses.dataclass(frozen=True, order=True)
class Endpoint:
    """IP address and TCP port."""

    address: str
    port: int


def loopback_endpoint(text: str) -> Endpoint | LoadProblem:
    """Parse ``ADDRESS:PORT``; the address must be on loopback."""
    address, _, port = text.rpartition(':')
    try:
        endpoint = Endpoint(address, int(port))
        on_loopback = ipaddress.ip_address(address).is_loopback
    except ValueError as exc:
        return LoadProblem(f'address {text!r}: {exc}')
    if not on_loopback:
        return LoadProblem(f'address {text!r}: load goes to loopback only')
    return endpoint
