//! Choice of a runner for each request, admission and retries.
