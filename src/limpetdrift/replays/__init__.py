"""Simulates loads on model engines in virtual time to compare policies.

Entries run the product's placement code; engines are simulated by the cost
model that the load file gives.
"""
