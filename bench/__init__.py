"""Experiments over the real programs, their checks and their reports."""
