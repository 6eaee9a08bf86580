"""Scale out and in: the cloud's interface and the policy of renting and returning machines."""
