//! The HTTP ports of a daemon.

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

/// The maximum number of connections on the callers' port.
const CALLER_CONNECTIONS_MAX: usize = 1_024;

/// The maximum number of connections on the operators' port.
const OPERATOR_CONNECTIONS_MAX: usize = 64;

/// Opens the callers' port. Once `gate` is closed, it admits no more requests.
pub(super) fn open_callers(
    context: &Arc<DaemonContext>,
    gate: &Arc<RequestGate>,
    admission: &Arc<AdmissionState>,
) -> Result<HttpPort, Report<StepError>> {
    let service = CallerService::new(Arc::clone(context), Arc::clone(admission));
    let service: Arc<dyn HttpService> = Arc::new(service);
    HttpPort::open(
        context.settings.node.callers,
        port_limits(context, CALLER_CONNECTIONS_MAX),
        &service,
        gate,
    )
}

/// Opens the operators' port. It has a gate of its own that is closed last, so that operators
/// are answered while the daemon drains.
pub(super) fn open_operators(
    context: &Arc<DaemonContext>,
    gate: &Arc<RequestGate>,
) -> Result<HttpPort, Report<StepError>> {
    let service: Arc<dyn HttpService> = Arc::new(OperatorService::new(Arc::clone(context)));
    HttpPort::open(
        context.settings.node.operators,
        port_limits(context, OPERATOR_CONNECTIONS_MAX),
        &service,
        gate,
    )
}

fn port_limits(context: &DaemonContext, connections: usize) -> PortLimits {
    PortLimits {
        connections,
        body_max_ms: context.settings.limits.body_max_ms,
    }
}
