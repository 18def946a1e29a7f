"""Embedded fleet, load, demo and measurements."""
