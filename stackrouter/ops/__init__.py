"""Decisions on operators' calls to a running gateway, without I/O: times are arguments, in seconds."""
