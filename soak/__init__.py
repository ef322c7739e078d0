"""Randomized soak test of VM processes under injected faults."""
