"""Sockets: connections, rings, the listener, the node pool and discovery; knows no front."""
