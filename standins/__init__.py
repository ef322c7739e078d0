"""Simulated leaves, platform and networks for tests, benchmarks and demos."""
