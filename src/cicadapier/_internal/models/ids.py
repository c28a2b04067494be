"""Types of identifiers and addresses."""

from typing import NewType

AccountId = NewType("AccountId", str)
PoolId = NewType("PoolId", str)
UpstreamId = NewType("UpstreamId", str)
VmId = NewType("VmId", str)
FailureDomainId = NewType("FailureDomainId", str)
ModelId = NewType("ModelId", str)
RequestId = NewType("RequestId", str)
PieceId = NewType("PieceId", bytes)
Incarnation = NewType("Incarnation", str)
ConfigNumber = NewType("ConfigNumber", int)
StoreEpoch = NewType("StoreEpoch", int)
PatchId = NewType("PatchId", str)
Address = NewType("Address", str)
Host = NewType("Host", str)  # Address without the port.
Fingerprint = NewType("Fingerprint", str)
RouteId = NewType("RouteId", str)
PartId = NewType("PartId", str)
