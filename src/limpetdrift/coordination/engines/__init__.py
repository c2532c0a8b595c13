"""Decides which engines prefill and decode a prompt, by their load.

Plain functions of a request, the engines' usage and their cost model, and the
division of large services into groups. Nothing here waits or sends.
"""
