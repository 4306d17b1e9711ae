"""Members of a service, their liveness and their leases."""
