"""Adapter to the platform: its names, data formats and API calls."""
