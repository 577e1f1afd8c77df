"""Messages on the wire and their encodings."""
