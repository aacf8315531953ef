"""Measurements of the program and its parts, one module for each role; each point runs in its own process."""
