//! Small specification of the core protocol, searched exhaustively.
