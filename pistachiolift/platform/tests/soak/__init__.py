"""A randomized soak test of the real processes with injected external faults."""
