"""Decides which prompts run, wait or are refused under load.

Plain functions of prompts, shares of accounts, loads of groups and the time. It
is told the chosen engines by ``planning``, and never sends a message.
"""
