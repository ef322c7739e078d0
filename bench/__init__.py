"""Benchmarks, simulated with a virtual clock or run as processes."""
