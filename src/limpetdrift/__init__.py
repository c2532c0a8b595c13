"""A serving layer for language model prompts of very unlike lengths."""
