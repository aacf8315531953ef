"""Coordination among gateways: members, leased duties with fencing tokens, one replicated log.

Off on the platform, where gateways share nothing. `lease`, `ledger`, `fence`, `watch` and `port` are
decisions without I/O; `raft` and `etcd` are the two adapters, `member` joins them to a running gateway.
"""
