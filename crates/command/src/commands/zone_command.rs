//! Takes a zone out or returns it.

use bpaf::Parser;
use bpaf::construct;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::author_option;
use crate::commands::arguments::name_argument;
use crate::operations::set_zone;
use crate::output::CommandOutput;
use sapphirestile_core::ZoneName;
use sapphirestile_core::ZoneState;
use sapphirestile_wire::api::ZoneChange;

const OUT_FOOTER: &str =
    "Example: sapphirestile --daemon 10.0.1.4:7070 zone out rannikko-hki --author maija";
const RETURN_FOOTER: &str =
    "Example: sapphirestile --daemon 10.0.1.4:7070 zone return rannikko-hki --author maija";

/// Takes a zone out or returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneCommand {
    /// The zone.
    pub zone: ZoneName,
    /// What it shall be, and who asks.
    pub change: ZoneChange,
}

impl ZoneCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        let out = Self::to_state(ZoneState::Out)
            .to_options()
            .descr("Takes a zone out: nothing starts there any more, and what runs there leaves")
            .footer(OUT_FOOTER)
            .command("out");
        let back = Self::to_state(ZoneState::In)
            .to_options()
            .descr("Returns a zone: work may start there again")
            .footer(RETURN_FOOTER)
            .command("return");
        construct!([out, back])
            .to_options()
            .descr("Takes a zone out or returns it")
            .command("zone")
    }

    fn to_state(state: ZoneState) -> impl Parser<Self> {
        let change = author_option().map(move |author| ZoneChange { state, author });
        let zone = name_argument("ZONE", "Name of the zone");
        construct!(Self { change, zone })
    }

    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let outcome = set_zone(client, &self.zone, &self.change);
        output.finish(outcome, |accepted| {
            format!(
                "zone {} is {} from revision {} on\n",
                self.zone, self.change.state, accepted.revision
            )
        })
    }
}
