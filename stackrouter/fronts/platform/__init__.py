"""The platform front, which speaks RESP2 with clients and storage nodes."""
