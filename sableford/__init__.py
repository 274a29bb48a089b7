"""sableford: pushes txns to workers on aged copies of their queue figures."""
