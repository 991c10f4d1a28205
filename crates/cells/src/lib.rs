//! Ownership of cells of workers: journal, tasks, recovery.
