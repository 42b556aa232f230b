"""The first front, by the public xDS specification: assignments, load reports, quotas, probes, the list.

Messages from `xds-protos`, transport from `grpcio`. Protocol words stay in here; the host knows none of them.
"""
