//! Arguments that several commands take.

use bpaf::Parser;
use bpaf::long;
use bpaf::positional;

use sapphirestile_core::JobName;
use sapphirestile_core::NameError;
use sapphirestile_wire::api::AuthorName;

const AUTHOR_VARIABLE: &str = "SAPPHIRESTILE_AUTHOR";

pub(super) fn job_argument() -> impl Parser<JobName> {
    name_argument("JOB", "Name of the job")
}

pub(super) fn name_argument<N>(metavar: &'static str, help: &'static str) -> impl Parser<N>
where
    N: TryFrom<String, Error = NameError> + 'static,
{
    positional::<String>(metavar).help(help).parse(N::try_from)
}

pub(super) fn named_option<N>(
    name: &'static str,
    metavar: &'static str,
    help: &'static str,
) -> impl Parser<N>
where
    N: TryFrom<String, Error = NameError> + 'static,
{
    long(name)
        .help(help)
        .argument::<String>(metavar)
        .parse(N::try_from)
}

pub(super) fn author_option() -> impl Parser<AuthorName> {
    long("author")
        .env(AUTHOR_VARIABLE)
        .help("Your name, kept with the change")
        .argument::<String>("NAME")
        .parse(|text| AuthorName::try_from(text.as_str()))
}

/// The parser of a command that takes no arguments.
pub(super) fn bare_command<C: Clone + 'static>(
    command: C,
    name: &'static str,
    description: &'static str,
    example: &'static str,
) -> impl Parser<C> {
    bpaf::pure(command)
        .to_options()
        .descr(description)
        .footer(example)
        .command(name)
}
