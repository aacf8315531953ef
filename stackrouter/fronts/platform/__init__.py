"""The platform front: RESP2 to clients and storage nodes."""
