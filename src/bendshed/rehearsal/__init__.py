"""Stand-ins of the platform, load, demo, experiments. The product never imports this."""
