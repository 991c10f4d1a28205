//! The command-line tool sapphirestile.
