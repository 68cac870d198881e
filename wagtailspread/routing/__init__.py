"""Routes by host and path prefix, with settings and weighted splits."""
