"""Which upstream runs a request, decided for all hosts of a region."""
