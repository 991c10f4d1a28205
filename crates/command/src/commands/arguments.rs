//! Parsers that several commands share.

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

/// A positional argument with a validated name, such as a [`JobName`].
pub(super) fn name_argument<N>(metavar: &'static str, help: &'static str) -> impl Parser<N>
where
    N: TryFrom<String, Error = NameError> + 'static,
{
    positional::<String>(metavar).help(help).parse(N::try_from)
}

/// An option `--name` with a validated name, such as a [`JobName`].
pub(super) fn name_option<N>(
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

/// `--author`, or the environment variable for it.
pub(super) fn author_option() -> impl Parser<AuthorName> {
    long("author")
        .env(AUTHOR_VARIABLE)
        .help("Your name, recorded with the change")
        .argument::<String>("NAME")
        .parse(|text| AuthorName::try_from(text.as_str()))
}

/// A command `name` that takes no arguments; `example` is shown at the end of its help.
pub(super) fn command_without_arguments<C: Clone + 'static>(
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
