"""Distribution of service documents."""
