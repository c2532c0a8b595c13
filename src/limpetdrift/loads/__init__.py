"""Load experiments: request generation, measurement and reports."""
