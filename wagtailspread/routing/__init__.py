"""Routes by host and path prefix, their terms, and weighted splits."""
