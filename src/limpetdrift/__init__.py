"""A serving layer for language model prompts of widely varying length."""
