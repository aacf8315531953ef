"""Fault-injection harness: runs program processes on loopback, injects faults and checks the history."""
