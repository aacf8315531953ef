"""Measurements of the program and its parts, one module a role, each point in a process of its own."""
