"""Tasks that run an instance."""
