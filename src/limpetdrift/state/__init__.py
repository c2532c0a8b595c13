"""What is kept: configuration documents, claims, leases and ledgers."""
