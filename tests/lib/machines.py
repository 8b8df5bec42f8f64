"""Hypothesis state machines whose steps run in virtual time."""

import hypothesis
from hypothesis import stateful
import pytest
import trio
import trio.testing

from corianderloft._internal.utils import clock


def profile_settings(ci_examples, fuzz_examples):
    """Return Hypothesis settings for the active profile."""
    fuzz = hypothesis.settings.get_current_profile_name() == 'fuzz'
    return hypothesis.settings(
        max_examples=fuzz_examples if fuzz else ci_examples,
        stateful_step_count=40 if fuzz else 20,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


class VirtualTimeMachine(stateful.RuleBasedStateMachine):
    """Records steps in its rules and runs them at the end of the example.

    The rules of a subclass add coroutine functions with `step`. Its
    `execute` calls `run_steps` and checks the invariants.
    """

    def __init__(self):
        super().__init__()
        self.steps = []

    def step(self, function, *args):
        self.steps.append((function, args))

    async def execute(self):
        raise NotImplementedError

    async def run_steps(self):
        for function, args in self.steps:
            await function(*args)

    def teardown(self):
        if not self.steps:
            return
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(clock, 'now', trio.current_time)
            trio.run(
                self.execute,
                clock=trio.testing.MockClock(autojump_threshold=0),
            )
