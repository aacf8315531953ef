"""The scale run: starts simulated ("hollow") gateways, real gateways and control replicas on one machine,
applies configuration changes and faults, and measures the control plane."""
