"""Tests of the service guarantees with real processes and injected faults."""
