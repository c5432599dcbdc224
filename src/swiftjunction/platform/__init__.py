"""The adapter to the platform: its names, formats and calls."""
