"""The small programs, each a thin module over the layers below."""
