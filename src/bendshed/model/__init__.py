"""Values that every layer shares: runner, service, route, tenant, zone, region, prompt part."""
