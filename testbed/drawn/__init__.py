"""Deployments and faults that are drawn from a seed, and the soak that plays them."""
