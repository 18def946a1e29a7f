"""At most once for requests that may not be repeated."""
