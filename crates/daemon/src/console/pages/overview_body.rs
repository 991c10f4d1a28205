//! The body of the page "Overview".

use crate::console::HtmlText;
use sapphirestile_wire::api::DaemonStatus;

/// Tables of the daemon, its services, the queues of its cells and the members it knows.
pub(super) fn overview_body(status: &DaemonStatus) -> HtmlText {
    let mut html = HtmlText::default();
    html.append(&daemon_table(status))
        .raw("<h2>Services</h2>\n")
        .append(&service_table(status))
        .raw("<h2>Queues of its cells</h2>\n")
        .append(&queue_table(status))
        .raw("<h2>Members</h2>\n")
        .append(&member_table(status));
    html
}

fn daemon_table(status: &DaemonStatus) -> HtmlText {
    let store = if status.store_reachable {
        "reachable"
    } else {
        "unreachable"
    };
    let mut html = HtmlText::default();
    html.raw("<table><tr><th>Daemon<td>")
        .text(&status.daemon)
        .raw("<tr><th>Incarnation<td>")
        .text(status.incarnation)
        .raw("<tr><th>Zone<td>")
        .text(&status.zone)
        .raw("<tr><th>Phase<td>")
        .text(status.phase)
        .raw("<tr><th>Store<td>")
        .text(store)
        .raw("</table>\n");
    html
}

fn service_table(status: &DaemonStatus) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<table><tr><th>Service<th class=\"number\">Runners")
        .raw("<th class=\"number\">Tokens<th class=\"number\">In flight");
    for service in &status.services {
        html.raw("<tr><td>")
            .text(&service.service)
            .raw("<td class=\"number\">")
            .text(service.runners)
            .raw("<td class=\"number\">")
            .text(service.tokens)
            .raw("<td class=\"number\">")
            .text(service.in_flight);
    }
    html.raw("</table>\n");
    html
}

fn queue_table(status: &DaemonStatus) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<table><tr><th>Cell<th class=\"number\">Waiting<th class=\"number\">Running");
    for queue in &status.queues {
        html.raw("<tr><td>")
            .text(queue.cell)
            .raw("<td class=\"number\">")
            .text(queue.waiting)
            .raw("<td class=\"number\">")
            .text(queue.running);
    }
    html.raw("</table>\n");
    html
}

fn member_table(status: &DaemonStatus) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<table><tr><th>Daemon<th>Incarnation<th>Address<th class=\"number\">Silent");
    for member in &status.members {
        html.raw("<tr><td>")
            .text(&member.daemon)
            .raw("<td>")
            .text(member.incarnation)
            .raw("<td>")
            .text(member.address)
            .raw("<td class=\"number\">")
            .text(member.silent_ms)
            .raw(" ms");
    }
    html.raw("</table>\n");
    html
}
