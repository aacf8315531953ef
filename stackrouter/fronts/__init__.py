"""The client and node protocols of the gateway; `core` and `net` import nothing from this package."""
