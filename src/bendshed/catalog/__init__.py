"""Configuration and runners as replica machines know them, for the nodes that request them."""
