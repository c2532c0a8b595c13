"""The callers' API: chat completions, resumption, models and services."""
