//! Load and experiment tool: decisions in virtual time against baselines.
