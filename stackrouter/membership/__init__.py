"""Decides what is known of the storage nodes and how current it is.

No I/O: times are arguments, in microseconds.
"""
