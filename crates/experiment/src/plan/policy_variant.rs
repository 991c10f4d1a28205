//! The policy of one row of a table.

use crate::PlacementMode;
use crate::PolicyFeature;
use crate::RoutingMode;
use crate::TableKind;

/// A scheduling policy to simulate: the algorithms and the enabled features.
#[derive(Clone, Debug)]
pub struct PolicyVariant {
    /// The name of the row in the table, and its name on the command line.
    pub name: String,
    /// The algorithm that chooses a worker for a task.
    pub placement: PlacementMode,
    /// The algorithm that chooses a runner for a request.
    pub routing: RoutingMode,
    features: Vec<PolicyFeature>,
}

impl PolicyVariant {
    /// The production policy with all features; its row is named `chosen`.
    #[must_use]
    pub fn production() -> Self {
        Self {
            name: "chosen".to_owned(),
            placement: PlacementMode::Production,
            routing: RoutingMode::Production,
            features: PolicyFeature::ALL.to_vec(),
        }
    }

    /// The production policy with `feature` disabled.
    #[must_use]
    pub fn without(feature: PolicyFeature) -> Self {
        let mut variant = Self::production();
        variant.name = format!("without {feature}");
        variant.features.retain(|other| *other != feature);
        variant
    }

    /// The policies of the rows of `table`, the production policy first.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_experiment::PolicyVariant;
    /// use sapphirestile_experiment::TableKind;
    ///
    /// let rows = PolicyVariant::for_table(TableKind::Baselines);
    /// assert_eq!(rows[0].name, "chosen");
    /// assert_eq!(rows.len(), 6);
    /// ```
    #[must_use]
    pub fn for_table(table: TableKind) -> Vec<Self> {
        let mut rows = vec![Self::production()];
        match table {
            TableKind::Baselines => rows.extend(baseline_variants()),
            TableKind::Ablations => rows.extend(PolicyFeature::ALL.map(Self::without)),
            TableKind::Routing => rows.extend(routing_variants()),
        }
        rows
    }

    /// Whether `feature` is enabled.
    #[must_use]
    pub fn has(&self, feature: PolicyFeature) -> bool {
        self.features.contains(&feature)
    }
}

fn baseline_variants() -> Vec<PolicyVariant> {
    let baseline = |name: &str, placement, routing| PolicyVariant {
        name: name.to_owned(),
        placement,
        routing,
        features: vec![PolicyFeature::Colocation],
    };
    let renamed = |name: &str, feature| PolicyVariant {
        name: name.to_owned(),
        ..PolicyVariant::without(feature)
    };
    vec![
        baseline("random", PlacementMode::Random, RoutingMode::Random),
        baseline(
            "round robin",
            PlacementMode::RoundRobin,
            RoutingMode::RoundRobin,
        ),
        baseline(
            "least loaded",
            PlacementMode::LeastLoaded,
            RoutingMode::LeastLoaded,
        ),
        renamed("no colocation", PolicyFeature::Colocation),
        renamed("declared sizes", PolicyFeature::MeasuredSizes),
    ]
}

fn routing_variants() -> Vec<PolicyVariant> {
    let renamed = |name: &str, routing| PolicyVariant {
        name: name.to_owned(),
        routing,
        ..PolicyVariant::production()
    };
    vec![
        renamed("random routing", RoutingMode::Random),
        renamed("round robin routing", RoutingMode::RoundRobin),
        renamed("least loaded routing", RoutingMode::LeastLoaded),
        renamed("sticky routing", RoutingMode::Sticky),
    ]
}
