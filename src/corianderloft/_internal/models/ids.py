"""Distinct types for identifiers."""

import typing

HostId = typing.NewType('HostId', str)
Incarnation = typing.NewType('Incarnation', int)
EngineId = typing.NewType('EngineId', str)
FailureDomain = typing.NewType('FailureDomain', str)
Region = typing.NewType('Region', str)
ServiceName = typing.NewType('ServiceName', str)
ClassName = typing.NewType('ClassName', str)
WorkspaceId = typing.NewType('WorkspaceId', str)
SupplierName = typing.NewType('SupplierName', str)
ModelVersion = typing.NewType('ModelVersion', str)
RequestId = typing.NewType('RequestId', str)
IdempotencyKey = typing.NewType('IdempotencyKey', str)
ChangeId = typing.NewType('ChangeId', str)
Revision = typing.NewType('Revision', int)
Era = typing.NewType('Era', int)
FencingNumber = typing.NewType('FencingNumber', int)
LeaseId = typing.NewType('LeaseId', int)
PromptPartId = typing.NewType('PromptPartId', str)
SuspectId = typing.NewType('SuspectId', str)

Tier = typing.NewType('Tier', int)
"""Priority of a class; 0 is the highest."""
