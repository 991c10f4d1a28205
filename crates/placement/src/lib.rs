//! Choice of a worker for each batch task.
