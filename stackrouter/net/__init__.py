"""Sockets: connections, ring buffers, the listener, the node pool and discovery; knows no front."""
