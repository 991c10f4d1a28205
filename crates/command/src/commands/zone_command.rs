//! The command `zone` and its subcommands.

use bpaf::Parser;
use bpaf::construct;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::author_option;
use crate::commands::arguments::name_argument;
use crate::operations::set_zone_state;
use crate::output::CommandOutput;
use sapphirestile_core::ZoneName;
use sapphirestile_core::ZoneState;
use sapphirestile_wire::api::ZoneChange;

const OUT_FOOTER: &str =
    "Example: sapphirestile --daemon 10.0.1.4:7070 zone out rannikko-hki --author maija";
const RETURN_FOOTER: &str =
    "Example: sapphirestile --daemon 10.0.1.4:7070 zone return rannikko-hki --author maija";

/// Takes a zone out of service (`zone out`) or returns it to service (`zone return`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneCommand {
    /// The name of the zone.
    pub zone: ZoneName,
    /// The new state of the zone, and the author of the change.
    pub change: ZoneChange,
}

impl ZoneCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        let out = Self::state_parser(ZoneState::Out)
            .to_options()
            .descr("Takes a zone out of service: nothing is started there, and what runs there is moved away")
            .footer(OUT_FOOTER)
            .command("out");
        let return_zone = Self::state_parser(ZoneState::In)
            .to_options()
            .descr("Returns a zone to service: work may start there again")
            .footer(RETURN_FOOTER)
            .command("return");
        construct!([out, return_zone])
            .to_options()
            .descr("Takes a zone out of service or returns it")
            .command("zone")
    }

    fn state_parser(state: ZoneState) -> impl Parser<Self> {
        let change = author_option().map(move |author| ZoneChange { state, author });
        let zone = name_argument("ZONE", "Name of the zone");
        construct!(Self { change, zone })
    }

    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let outcome = set_zone_state(client, &self.zone, &self.change);
        output.write_outcome(outcome, |accepted| {
            format!(
                "zone {} is {} as of revision {}\n",
                self.zone, self.change.state, accepted.revision
            )
        })
    }
}
