"""The demo: the whole path in one process, with faults on the way."""

from corianderloft._internal.demo.show import DemoProblem
from corianderloft._internal.demo.show import DemoReport
from corianderloft._internal.demo.show import run_demo

__all__ = ['DemoProblem', 'DemoReport', 'run_demo']
