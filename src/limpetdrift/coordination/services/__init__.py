"""Calls to plain services for the product's own API.

Decides which endpoint gets a call and whether it is repeated.
"""
