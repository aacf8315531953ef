"""Stand-ins and helpers of review cases 6 to 10; the standard library alone."""
