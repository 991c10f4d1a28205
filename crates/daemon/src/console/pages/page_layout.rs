//! The layout of every page.

use crate::console::ConsolePart;
use crate::console::ConsoleSession;
use crate::console::ConsoleState;
use crate::console::HtmlText;
use crate::console::handle_request::SIGN_IN_PATH;
use crate::console::handle_request::SIGN_OUT_PATH;
use crate::console::handle_request::STYLE_PATH;
use crate::console::pages::form_parts::hidden_fields;
use sapphirestile_wire::api::UnixTime;

/// The layout of every page: the menu, the session and the revision in force.
pub(in crate::console) struct PageLayout<'s> {
    pub(in crate::console) state: &'s ConsoleState<'s>,
    pub(in crate::console) session: Option<&'s ConsoleSession>,
}

impl<'s> PageLayout<'s> {
    pub(in crate::console) const fn new(
        state: &'s ConsoleState<'s>,
        session: Option<&'s ConsoleSession>,
    ) -> Self {
        Self { state, session }
    }

    /// The page of a part with this body.
    pub(in crate::console) fn render_part(&self, part: ConsolePart, body: &HtmlText) -> HtmlText {
        self.render(part.title(), Some(part), body)
    }

    /// A page that belongs to no part, with this body.
    pub(in crate::console) fn render_page(&self, title: &'static str, body: &HtmlText) -> HtmlText {
        self.render(title, None, body)
    }

    fn render(&self, title: &'static str, part: Option<ConsolePart>, body: &HtmlText) -> HtmlText {
        let mut html = HtmlText::default();
        html.raw("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">")
            .raw("<meta name=\"viewport\" content=\"width=device-width\"><title>")
            .text(title)
            .raw(" - sapphirestile</title><link rel=\"stylesheet\" href=\"")
            .text(STYLE_PATH)
            .raw("\"></head><body>\n<header><strong>sapphirestile</strong>");
        Self::add_menu(part, &mut html);
        self.add_session(&mut html);
        html.raw("</header>\n<main><h1>").text(title).raw("</h1>\n");
        self.add_revision(&mut html);
        html.append(body).raw("</main></body></html>\n");
        html
    }

    fn add_menu(current: Option<ConsolePart>, html: &mut HtmlText) {
        html.raw("<nav>");
        for part in ConsolePart::ALL {
            html.raw("<a href=\"").text(part.path()).raw("\"");
            if Some(part) == current {
                html.raw(" aria-current=\"page\"");
            }
            html.raw(">").text(part.title()).raw("</a>");
        }
        html.raw("</nav>");
    }

    fn add_session(&self, html: &mut HtmlText) {
        let Some(session) = self.session else {
            html.raw("<a class=\"session\" href=\"")
                .text(SIGN_IN_PATH)
                .raw("\">Sign in</a>");
            return;
        };
        html.raw("<form class=\"session\" method=\"post\" action=\"")
            .text(SIGN_OUT_PATH)
            .raw("\">")
            .append(&hidden_fields(self, session))
            .raw("<span>")
            .text(&session.author)
            .raw("</span> <button class=\"quiet\">Sign out</button></form>");
    }

    fn add_revision(&self, html: &mut HtmlText) {
        let view = self.state.view;
        html.raw("<p class=\"revision\">Revision ")
            .text(view.revision);
        if view.revision.get() > 0 {
            html.raw(", changed by ")
                .text(&view.author)
                .raw(" at ")
                .text(UnixTime::new(view.changed_unix_ms));
        }
        if !self.state.status.store_reachable {
            html.raw(". <strong class=\"bad\">The store cannot be reached: ")
                .raw("nothing can be changed now.</strong>");
        }
        html.raw("</p>\n");
    }
}
