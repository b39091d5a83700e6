"""Configuration and runners as replica machines know them, for the fronts that ask them."""
