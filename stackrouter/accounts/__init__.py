"""Latency accounts: who caused a request to wait, and at which node. Facts in, figures out; no I/O."""
