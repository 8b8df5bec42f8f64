"""Tests of the credentials and roles of operators."""

import pytest

from corianderloft._internal import security

VIEWER_KEY = security.new_key()
OPERATOR_KEY = security.new_key()
OPERATORS = security.Operators(
    [
        security.Operator(
            'rita', security.hash_key(VIEWER_KEY), security.Role.VIEWER
        ),
        security.Operator(
            'omar', security.hash_key(OPERATOR_KEY), security.Role.OPERATOR
        ),
    ]
)


def test_role_includes_lower_roles() -> None:
    found = OPERATORS.authorize(OPERATOR_KEY, security.Role.VIEWER)
    assert isinstance(found, security.Operator)
    assert found.name == 'omar'


def test_viewer_lacks_the_operator_role() -> None:
    found = OPERATORS.authorize(VIEWER_KEY, security.Role.OPERATOR)
    assert found == security.Unauthorized('rita', security.Role.OPERATOR)


@pytest.mark.parametrize(
    'key', [None, '', 'x', 'x' * 10_000, 'clk_' + 'A' * 43]
)
def test_unknown_key_is_unauthenticated(key: str | None) -> None:
    found = OPERATORS.authorize(key, security.Role.VIEWER)
    assert found == security.Unauthenticated()


@pytest.mark.parametrize(
    ('header', 'key'),
    [
        ('Bearer abc', 'abc'),
        ('bearer  abc ', 'abc'),
        ('Basic abc', None),
        ('Bearer', None),
        ('', None),
        (None, None),
    ],
)
def test_bearer_key(header: str | None, key: str | None) -> None:
    assert security.bearer_key(header) == key
