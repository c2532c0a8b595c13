"""Load experiments: what is sent, what came back, and what it says."""
