"""Stand-ins on loopback for a gateway's environment: storage nodes, discovery and clients."""
