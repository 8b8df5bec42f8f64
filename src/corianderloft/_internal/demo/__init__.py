"""The demo: the whole system in one process, with injected faults."""

from corianderloft._internal.demo.scenario import DemoProblem
from corianderloft._internal.demo.scenario import DemoReport
from corianderloft._internal.demo.scenario import run_demo

__all__ = ['DemoProblem', 'DemoReport', 'run_demo']
