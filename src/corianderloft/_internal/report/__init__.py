"""HTML reports on runs of the load generator and of benchmarks."""

from corianderloft._internal.report.inputs import BenchRun
from corianderloft._internal.report.inputs import ReportProblem
from corianderloft._internal.report.page import write_report

__all__ = ['BenchRun', 'ReportProblem', 'write_report']
