//! The sign-in form.

use crate::console::HtmlText;
use crate::console::handle_request::SIGN_IN_PATH;

/// A form with a name and the operators' token.
pub(in crate::console) fn sign_in_body() -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<form class=\"stacked\" method=\"post\" action=\"")
        .text(SIGN_IN_PATH)
        .raw("\"><label>Your name<input name=\"author\" required maxlength=\"64\"></label>")
        .raw("<label>Operators' token<input name=\"token\" type=\"password\" required ")
        .raw("autocomplete=\"current-password\"></label><button>Sign in</button></form>\n");
    html
}
