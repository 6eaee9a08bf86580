"""The state service and what is kept in it."""
