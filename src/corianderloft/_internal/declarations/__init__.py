"""Operators' declarations: YAML files that are converted to a catalog."""

from corianderloft._internal.declarations.diff import CatalogDiff
from corianderloft._internal.declarations.diff import compare
from corianderloft._internal.declarations.diff import DiffLine
from corianderloft._internal.declarations.load import DeclarationErrors
from corianderloft._internal.declarations.load import Declarations
from corianderloft._internal.declarations.load import load_directory
from corianderloft._internal.declarations.plugin_names import check_settings

__all__ = [
    'CatalogDiff',
    'DeclarationErrors',
    'Declarations',
    'DiffLine',
    'check_settings',
    'compare',
    'load_directory',
]
