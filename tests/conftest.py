"""Settings that hold for all tests."""

import hypothesis

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    'fuzz', deadline=None, database=None, max_examples=2000
)
hypothesis.settings.load_profile('ci')
