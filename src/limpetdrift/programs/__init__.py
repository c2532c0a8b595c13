"""Entry points of the programs, and the wiring of their components."""
