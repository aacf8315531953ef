"""The fault harness: processes of the program on loopback, faults between them, their history checked."""
