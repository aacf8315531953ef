"""Capacity: measured slopes of each role, fits over them, and the page made from both.

`measure/` runs the program and its parts at several sizes; all else is without side effects but for
reading and writing the files under docs/capacity.
"""
