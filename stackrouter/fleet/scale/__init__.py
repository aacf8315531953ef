"""The scale run: hollow gateways, real gateways and control replicas on one machine, with changes and
faults."""
