"""A randomized soak: real gateways as processes, with faults from outside them."""
