//! Arguments, help and shell completion.

use test_case::test_case;

use crate::fake_daemon::closed_address;
use crate::tool_run::TOKEN;
use crate::tool_run::run_with_daemons;
use sapphirestile_command::ExitKind;
use sapphirestile_command::ToolEnvironment;
use sapphirestile_command::run_tool;

#[test_case(&["status"], "give at least one --daemon IP:PORT"; "no daemon")]
#[test_case(&["--daemon=localhost:1", "status"], "couldn't parse `localhost:1`: invalid socket address syntax"; "a name instead of an address")]
#[test_case(&["--daemon=127.0.0.1:1", "show", "Patterns"], "couldn't parse `Patterns`: \"Patterns\" is not a JobName: use 1 to 63 of a-z, 0-9, '-' and '.',\nbeginning with a letter or a digit"; "an invalid name")]
#[test_case(&["--daemon=127.0.0.1:1", "--timeout-ms=0", "status"], "`0`: the timeout must be at least 1 ms"; "a timeout of zero")]
#[test_case(&["--daemon=127.0.0.1:1", "--token=short", "status"], "couldn't parse `short`: a token is 16 to 256 printable ASCII characters without blanks"; "a short token")]
fn wrong_arguments_send_nothing(arguments: &'static [&'static str], expected: &str) {
    let environment = ToolEnvironment { token: None };
    let mut out = Vec::new();
    let mut err = Vec::new();
    let exit = run_tool(arguments, &environment, &mut out, &mut err);
    assert_eq!(exit, ExitKind::BadUsage);
    assert_eq!(String::from_utf8(err).unwrap(), format!("{expected}\n"));
}

#[test]
fn an_invalid_token_in_the_environment_is_reported_without_its_value() {
    let environment = ToolEnvironment {
        token: Some("short-secret".to_owned()),
    };
    let mut out = Vec::new();
    let mut err = Vec::new();
    let arguments = &["--daemon=127.0.0.1:1", "status"];
    let exit = run_tool(arguments, &environment, &mut out, &mut err);
    assert_eq!(exit, ExitKind::BadUsage);
    assert_eq!(
        String::from_utf8(err).unwrap(),
        "SAPPHIRESTILE_TOKEN: a token is 16 to 256 printable ASCII characters without blanks\n"
    );
}

#[test]
fn help_lists_the_exit_codes_and_not_the_token() {
    let run = run_with_daemons(&[closed_address()], &["--help"]);
    assert_eq!(run.exit, ExitKind::Done);
    assert!(
        run.out
            .contains("4  unknown outcome: it may or may not have been done")
    );
    assert!(run.out.contains("zone out rannikko-hki --author maija"));
    assert!(!run.out.contains(TOKEN));
}

#[test_case("submit"; "submit")]
#[test_case("cancel"; "cancel")]
#[test_case("list"; "list")]
#[test_case("show"; "show")]
#[test_case("watch"; "watch")]
#[test_case("status"; "status")]
#[test_case("zones"; "zones")]
#[test_case("vms"; "vms")]
#[test_case("services"; "services")]
#[test_case("queues"; "queues")]
#[test_case("dump"; "dump")]
#[test_case("explain"; "explain")]
fn every_command_has_an_example(command: &str) {
    let run = run_with_daemons(&[closed_address()], &[command, "--help"]);
    let example = format!("Example: sapphirestile --daemon 10.0.1.4:7070 {command}");
    assert!(run.out.contains(&example), "{}", run.out);
}

#[test]
fn options_are_accepted_after_the_command() {
    let address = closed_address();
    let daemon = format!("--daemon={address}");
    let run = run_with_daemons(&[], &["list", &daemon, "--json"]);
    assert_eq!(run.exit, ExitKind::Unreachable);
    assert_eq!(run.out, "{\n  \"outcome\": \"unreachable\"\n}\n");
}

#[test]
fn commands_are_completed() {
    let run = run_with_daemons(&[], &["--bpaf-complete-rev=8", "can"]);
    assert_eq!(run.exit, ExitKind::Done);
    assert!(run.out.contains("cancel"), "{}", run.out);
}
