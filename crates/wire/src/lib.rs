//! Messages between daemons and bodies of HTTP calls, with their codecs.
