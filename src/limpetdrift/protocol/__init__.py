"""Typed messages, verdicts, and one adapter for each outside system."""
