"""Tests of parameter substitution in templates."""

import hypothesis
from hypothesis import strategies

from corianderloft._internal.declarations import parameters

NAMES = strategies.from_regex(r'[a-z]{1,4}', fullmatch=True)
VALUES = strategies.one_of(
    strategies.booleans(),
    strategies.integers(),
    strategies.text('xyz', max_size=3),
)
TREES = strategies.recursive(
    strategies.one_of(
        VALUES, NAMES.map('${{{}}}'.format), NAMES.map('a ${{{}}} b'.format)
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(NAMES, inner, max_size=3),
    ),
    max_leaves=8,
)


@hypothesis.given(tree=TREES, values=strategies.dictionaries(NAMES, VALUES))
def test_only_unknown_references_remain(
    tree: object, values: dict[str, bool | int | str]
) -> None:
    filled = parameters.substitute(tree, values)
    unknown = parameters.references(tree) - set(values)
    assert parameters.references(filled) == unknown


def test_a_whole_reference_keeps_the_type_of_its_value() -> None:
    raw = {'tier': '${tier}', 'text': 'tier ${tier}'}
    filled = parameters.substitute(raw, {'tier': 3})
    assert filled == {'tier': 3, 'text': 'tier 3'}
