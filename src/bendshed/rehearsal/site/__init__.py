"""Stand-ins of a site that runs fronts and stores: runners, programs, metadata store, oracle."""
