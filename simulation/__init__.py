"""The laboratory: many cores on one simulated clock and network, the same run for the same seed."""
