"""The instance process: accepts jobs, and schedules the partitions that it owns."""
