"""Coordination among gateways: members, leased duties with fencing tokens, one replicated log.

Disabled on the platform, where gateways share nothing. `lease`, `ledger`, `fence`, `watch` and `port` contain
decision logic without I/O; `raft` and `etcd` are the two adapters; `member` connects them to a running
gateway.
"""
