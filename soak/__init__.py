"""Random faults over the real processes of a deployment on the platform."""
