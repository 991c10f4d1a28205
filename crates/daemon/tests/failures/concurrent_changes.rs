use std::thread;

use serde_json::Value;
use serde_json::json;

use crate::support::TestCluster;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const ROUNDS: u64 = 5;

/// Operators at three daemons concurrently change the same revision of the document, several
/// times. Exactly one must win each time, the others must be shown the revision of the
/// winner, and it must come into force at every daemon.
#[test]
fn exactly_one_of_several_concurrent_changes_wins() {
    let cluster = TestCluster::start("concurrent_changes", FleetPlan::default());
    let operators = cluster.operators();
    for round in 0..ROUNDS {
        let (_, view) = call_json(operators[0], "GET", "/v1/document", &Value::Null)
            .expect("the daemon responds with the document");
        let text = view["text"]
            .as_str()
            .expect("the text of the document is a string")
            .to_owned();
        let answers: Vec<(u16, Value)> = thread::scope(|scope| {
            let threads: Vec<_> = operators
                .iter()
                .enumerate()
                .map(|(index, address)| {
                    let change = json!({
                        "based_on": view["revision"],
                        "text": format!("{text}; round {round} of operator {index}\n"),
                        "author": format!("operator-{index}"),
                    });
                    scope.spawn(move || {
                        call_json(*address, "PUT", "/v1/document", &change)
                            .expect("the daemon responds to the change")
                    })
                })
                .collect();
            threads
                .into_iter()
                .map(|thread| {
                    thread
                        .join()
                        .expect("the thread of an operator does not panic")
                })
                .collect()
        });
        let winners: Vec<&Value> = answers
            .iter()
            .filter(|(status, _)| *status == 200)
            .map(|(_, answer)| &answer["revision"])
            .collect();
        assert_eq!(winners.len(), 1, "{answers:?}");
        for (_, conflict) in answers.iter().filter(|(status, _)| *status != 200) {
            assert_eq!(&conflict["current"]["revision"], winners[0], "{conflict}");
        }
        for address in &operators {
            wait_until("the revision of the winner is in force", || {
                let (_, shown) = call_json(*address, "GET", "/v1/document", &Value::Null)?;
                (shown["revision"] == *winners[0]).then_some(())
            });
        }
    }
}
