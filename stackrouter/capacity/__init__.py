"""Capacity planning: measured costs of each role, fits over them, and the page generated from both.

`measure/` runs the program and its parts at several sizes. The other modules have no side effects except
reading and writing the files under docs/capacity.
"""
