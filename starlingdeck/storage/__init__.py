"""Client of the state service, and the stored formats of records and commit logs."""
