//! Scenes for tests: processes, ports, fakes.
