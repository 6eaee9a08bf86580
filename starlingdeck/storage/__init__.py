"""The state service's client, and the stored form of records and commit logs."""
