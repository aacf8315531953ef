"""What this gateway knows of the nodes and how surely. No I/O: times are arguments, in microseconds."""
