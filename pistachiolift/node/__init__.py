"""The process that accepts jobs for workers and, on one instance, schedules them."""
