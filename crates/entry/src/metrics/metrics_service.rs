//! Serves the metrics over HTTP.

use std::sync::Arc;

use oxhttp::model::Body;
use oxhttp::model::Request;
use sapphirestile_serving::HttpReply;
use sapphirestile_serving::HttpService;

use crate::context::EntryContext;

const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const STATUS_OK: u16 = 200;

/// Serves the metrics over HTTP, also after the request gate is closed.
pub struct MetricsService {
    context: Arc<EntryContext>,
}

impl MetricsService {
    /// Creates the metrics service of a daemon.
    #[must_use]
    pub const fn new(context: Arc<EntryContext>) -> Self {
        Self { context }
    }
}

impl HttpService for MetricsService {
    fn answer(&self, _request: &mut Request<Body>) -> HttpReply {
        HttpReply::new(
            STATUS_OK,
            CONTENT_TYPE,
            self.context.metrics.text().into_bytes(),
        )
    }

    fn refuse(&self) -> HttpReply {
        HttpReply::new(
            STATUS_OK,
            CONTENT_TYPE,
            self.context.metrics.text().into_bytes(),
        )
    }
}
