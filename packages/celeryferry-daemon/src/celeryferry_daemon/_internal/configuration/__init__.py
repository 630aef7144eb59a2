"""Distribution of service documents by the configuration service and between hosts."""
