"""Benchmarks: decisions at a virtual clock, and processes on loopback."""
