"""Soak test: random faults in the real processes of a deployment."""
