//! The command line, as it is written; what it means is checked elsewhere.

use std::path::PathBuf;

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};

/// A load balancer for expert-parallel model groups.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Take callers' requests until told to stop.
    Serve {
        /// The settings file of this entry.
        settings: PathBuf,
    },
    /// Take callers' requests on the users' platform, and speak to targets
    /// without an agent in between.
    Entry {
        /// The settings file of this entry.
        settings: PathBuf,
    },
    /// Check a settings or catalogue file and name what is wrong with it.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Read or change the catalogue.
    #[command(subcommand)]
    Catalogue(CatalogueCommand),
    /// Show what each entry says of itself and its targets.
    Status {
        /// Whom to ask.
        #[command(flatten)]
        fleet: FleetArgs,
        /// How to print it.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Count why requests were late or not answered, from the logs of entries on
    /// the users' platform.
    Causes {
        /// The logs, one JSON object a line.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// What to count by.
        #[arg(long, value_enum, default_value_t)]
        by: CauseGroup,
        /// How to print it.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Show or change which requests are held back because targets end under them, on
    /// the users' platform.
    #[command(subcommand)]
    Quarantine(QuarantineCommand),
    /// Report how fast each catalogue entry uses up its error budget.
    Burn {
        /// Whom to ask.
        #[command(flatten)]
        fleet: FleetArgs,
        /// How to print it.
        #[arg(long, value_enum, default_value_t)]
        format: ReportFormat,
    },
}

/// The catalogue commands.
#[derive(Debug, Subcommand)]
pub enum CatalogueCommand {
    /// Print what is in force, as a file that `apply` takes.
    Get {
        /// Where it is kept.
        #[command(flatten)]
        service: ServiceArgs,
        /// How to print it.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Show how a file differs from what is in force.
    Diff {
        /// Where the catalogue is kept.
        #[command(flatten)]
        service: ServiceArgs,
        /// The file.
        file: PathBuf,
    },
    /// Put a file in force, unless another change came first.
    Apply {
        /// Where the catalogue is kept.
        #[command(flatten)]
        service: ServiceArgs,
        /// The file.
        file: PathBuf,
        /// The revision it is based on, in place of its `# revision` line.
        #[arg(long)]
        based_on: Option<i64>,
        /// Remove items that the file lacks.
        #[arg(long)]
        remove: bool,
        /// Who makes the change.
        #[arg(long, env = "USER", default_value = "unknown")]
        author: String,
    },
    /// List the versions of an item.
    History {
        /// Where the catalogue is kept.
        #[command(flatten)]
        service: ServiceArgs,
        /// The item, such as `entry briefing-llm`.
        item: String,
        /// How to print it.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
}

/// The commands on requests that are held back.
#[derive(Debug, Subcommand)]
pub enum QuarantineCommand {
    /// List the requests that are suspected or held, with the targets that ended.
    List {
        /// Where it is kept.
        #[command(flatten)]
        service: ServiceArgs,
        /// How to print it.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Hold a request back until it is lifted.
    Pin {
        /// Where it is kept.
        #[command(flatten)]
        service: ServiceArgs,
        /// The request's digest, as the logs have it.
        digest: String,
    },
    /// Let a request through again; targets that ended so far do not count any more.
    Lift {
        /// Where it is kept.
        #[command(flatten)]
        service: ServiceArgs,
        /// The request's digest, as the logs have it.
        digest: String,
    },
}

/// Where the key-value service is.
#[derive(Debug, ClapArgs)]
pub struct ServiceArgs {
    /// Base URL of the platform's key-value service.
    #[arg(long, env = "BERYLHOOK_KEY_VALUE")]
    pub key_value: String,
}

/// How to reach the entries.
#[derive(Debug, ClapArgs)]
pub struct FleetArgs {
    /// The settings file of any entry; its key and list of VMs are used.
    #[arg(long, env = "BERYLHOOK_SETTINGS")]
    pub settings: PathBuf,
}

/// How to print a result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For scripts.
    Json,
}

/// What causes are counted by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum CauseGroup {
    /// The second in which requests ended.
    #[default]
    Second,
    /// The VM that the collector names before each line.
    Vm,
    /// The route.
    Route,
    /// The target to which a request was sent last.
    Target,
    /// The digest of requests that were at a target when it ended, or were held back for
    /// it; other requests are not counted.
    Digest,
}

impl CauseGroup {
    /// Its name in flags and output.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Second => "second",
            Self::Vm => "vm",
            Self::Route => "route",
            Self::Target => "target",
            Self::Digest => "digest",
        }
    }
}

/// How to print a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum ReportFormat {
    /// A table.
    #[default]
    Text,
    /// For scripts.
    Json,
    /// One page with plots.
    Html,
}
