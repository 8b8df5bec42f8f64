"""Settings that hold for all tests."""

import collections.abc
import logging

import hypothesis
import pytest

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    'fuzz', deadline=None, database=None, max_examples=2000
)
hypothesis.settings.load_profile('ci')


@pytest.fixture(autouse=True)
def _restored_log() -> collections.abc.Iterator[None]:
    """Put back the log that commands set up for their process."""
    logger = logging.getLogger('corianderloft')
    kept = (logger.handlers, logger.level, logger.propagate)
    yield
    logger.handlers, logger.level, logger.propagate = kept
