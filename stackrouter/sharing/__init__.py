"""Shares one gateway's limits among its processes while several of them run, for example during an upgrade.

`records` defines the records of the shared log and `replay` replays them into token buckets. `mode` decides
how the processes share the limits, and `buckets` provides the token buckets for the decision module. Only
`presence` and `log_file` do I/O. Imported only where the listening socket is inherited.
"""
