"""Separate control plane: a few voting replicas, with gateways as observers of the replicated state.

Disabled on the platform. `codec`, `delta_log`, `snapshot`, `routing`, `replica` and `observer` contain the
logic without I/O; `server` and `client` own the sockets; `process` runs a replica.
"""
