"""Value types that all layers share: runner, service, route, tenant, zone, region, prompt part."""
