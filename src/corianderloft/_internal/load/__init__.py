"""Open-loop load generator for entry hosts on loopback."""

from corianderloft._internal.load.runner import LoadReport
from corianderloft._internal.load.runner import Progress
from corianderloft._internal.load.runner import run_load
from corianderloft._internal.load.tables import class_rows
from corianderloft._internal.load.tables import refusal_rows
from corianderloft._internal.load.tables import text
from corianderloft._internal.load.workload import LoadProblem
from corianderloft._internal.load.workload import read_workload
from corianderloft._internal.load.workload import Workload

__all__ = [
    'LoadProblem',
    'LoadReport',
    'Progress',
    'Workload',
    'class_rows',
    'read_workload',
    'refusal_rows',
    'run_load',
    'text',
]
