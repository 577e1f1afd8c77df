"""Messages and their encodings."""
