"""The xDS front: assignments, load reports, quotas, server probes and the server list, by the public
specifications.

Messages come from `xds-protos`, the transport from `grpcio`. Terms of the protocols stay in this package; the
host knows none of them.
"""
