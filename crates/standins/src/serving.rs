//! Serves a stand-in over HTTP.
//!
//! A [`StandinServer`] hands each [`StandinCall`] to a [`StandinService`] and
//! sends its [`StandinReply`], whole or broken off as its [`ReplyEnding`] says.

mod broken_source;
mod listening_threads;
mod reply_ending;
mod standin_call;
mod standin_reply;
mod standin_server;
mod standin_service;

pub use reply_ending::ReplyEnding;
pub use standin_call::StandinCall;
pub use standin_reply::StandinReply;
pub use standin_server::StandinServer;
pub use standin_service::StandinService;
