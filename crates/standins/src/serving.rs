//! The HTTP server of the stand-ins.
//!
//! A [`StandinServer`] passes each [`StandinRequest`] to a [`StandinService`] and sends
//! the [`StandinResponse`]. To simulate a lost response, its [`ResponseEnding`] makes the
//! server close the connection before or while it sends the response.

mod failing_reader;
mod listening_threads;
mod response_ending;
mod standin_request;
mod standin_response;
mod standin_server;
mod standin_service;

pub use response_ending::ResponseEnding;
pub use standin_request::StandinRequest;
pub use standin_response::StandinResponse;
pub use standin_server::StandinServer;
pub use standin_service::StandinService;
