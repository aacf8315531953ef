"""The control plane apart from the gateways: few voting replicas, and gateways as observers of their state.

Off on the platform. `codec`, `delta_log`, `snapshot`, `routing`, `replica` and `observer` decide without I/O;
`server` and `client` have the sockets; `process` runs a replica.
"""
