"""Soak test: real gateways on loopback under random, overlapping faults, checked by their peers' records."""
