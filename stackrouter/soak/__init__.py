"""Real gateways on loopback under random, overlapping faults, judged by what others saw of them."""
