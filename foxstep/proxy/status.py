"""The gRPC status codes with which the proxy itself answers ops. Source: the gRPC core documentation."""

DEADLINE_EXCEEDED = 4
RESOURCE_EXHAUSTED = 8
UNIMPLEMENTED = 12
UNAVAILABLE = 14
