"""What operators ask of a running gateway, decided without I/O: times are arguments, in seconds."""
