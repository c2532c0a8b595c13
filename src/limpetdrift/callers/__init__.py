"""The callers' API: chat completions, stream resumption, models, services."""
