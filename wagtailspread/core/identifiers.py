"""Types of identifiers, versions and addresses of all packages.

Each one is a ``NewType``, so that the type checker distinguishes a host from an
upstream without a cost at run time.
"""

import typing

HostId = typing.NewType('HostId', str)
MemberId = typing.NewType('MemberId', str)
ReplicaId = typing.NewType('ReplicaId', str)
RegionName = typing.NewType('RegionName', str)
FailureDomain = typing.NewType('FailureDomain', str)
ServiceName = typing.NewType('ServiceName', str)
CallerId = typing.NewType('CallerId', str)
UpstreamId = typing.NewType('UpstreamId', str)
WorkspaceName = typing.NewType('WorkspaceName', str)

RequestId = typing.NewType('RequestId', str)
LeaseId = typing.NewType('LeaseId', int)
AttemptId = typing.NewType('AttemptId', str)
IdempotencyKey = typing.NewType('IdempotencyKey', str)
SubmissionId = typing.NewType('SubmissionId', str)

ConfigurationVersion = typing.NewType('ConfigurationVersion', int)
Incarnation = typing.NewType('Incarnation', int)
Term = typing.NewType('Term', int)
LogIndex = typing.NewType('LogIndex', int)

#: Address of a process as ``ip:port``.
Address = typing.NewType('Address', str)
