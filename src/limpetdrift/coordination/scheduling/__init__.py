"""Decisions on which prompts run, wait or are refused under load."""
