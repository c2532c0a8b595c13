"""Messages between processes, verdicts, and clients of outside systems."""
