"""Routes to services, the runners behind them, and the forwarding of requests."""
