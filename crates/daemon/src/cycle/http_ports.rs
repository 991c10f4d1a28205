//! The ports on which a daemon answers over HTTP.

use std::sync::Arc;

use error_stack::Report;

use crate::callers::AdmissionState;
use crate::callers::CallerService;
use crate::context::DaemonContext;
use crate::operators::OperatorService;
use crate::serving::HttpPort;
use crate::serving::HttpService;
use crate::serving::PortLimits;
use crate::serving::RequestGate;
use sapphirestile_core::StepError;

const CALLER_CONNECTIONS: usize = 1_024;
const OPERATOR_CONNECTIONS: usize = 64;

pub(super) fn open_callers(
    context: &Arc<DaemonContext>,
    gate: &Arc<RequestGate>,
    desk: &Arc<AdmissionState>,
) -> Result<HttpPort, Report<StepError>> {
    let service = CallerService::new(Arc::clone(context), Arc::clone(desk));
    let service: Arc<dyn HttpService> = Arc::new(service);
    HttpPort::open(
        context.settings.node.callers,
        port_limits(context, CALLER_CONNECTIONS),
        &service,
        gate,
    )
}

/// The operators' port stays open while the daemon drains.
pub(super) fn open_operators(context: &Arc<DaemonContext>) -> Result<HttpPort, Report<StepError>> {
    let service: Arc<dyn HttpService> = Arc::new(OperatorService::new(Arc::clone(context)));
    let gate = Arc::new(RequestGate::default());
    HttpPort::open(
        context.settings.node.operators,
        port_limits(context, OPERATOR_CONNECTIONS),
        &service,
        &gate,
    )
}

fn port_limits(context: &DaemonContext, connections: usize) -> PortLimits {
    PortLimits {
        connections,
        body_max_ms: context.settings.limits.body_max_ms,
    }
}
