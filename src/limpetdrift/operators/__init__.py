"""What ``limpetctl`` does: one module for each group of commands."""
