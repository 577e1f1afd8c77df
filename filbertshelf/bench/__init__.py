"""Load experiments, cost measurements and the demonstration."""
