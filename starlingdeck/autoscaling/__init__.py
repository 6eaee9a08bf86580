"""Autoscaling: the client of the cloud, and the policy of renting and releasing machines."""
