"""Decision module of a storage gateway: enforces the reserves, weights and limits of volumes."""
