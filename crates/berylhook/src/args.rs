//! Command-line arguments. The commands that use them validate their values.

use std::path::PathBuf;

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};

/// A load balancer for expert-parallel model groups.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve callers' requests until told to stop.
    Serve {
        /// The settings file of this entry.
        settings: PathBuf,
    },
    /// Serve callers' requests on the users' platform, connecting to targets directly instead of
    /// through agents.
    Entry {
        /// The settings file of this entry.
        settings: PathBuf,
    },
    /// Check a settings or catalogue file and report its errors.
    Check {
        /// The settings or catalogue file.
        file: PathBuf,
    },
    /// Read or change the catalogue.
    #[command(subcommand)]
    Catalogue(CatalogueCommand),
    /// Show the status of each entry and its targets.
    Status {
        /// How to reach the entries.
        #[command(flatten)]
        fleet: FleetArgs,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Count why requests were late or not answered, from the logs of entries on the users'
    /// platform.
    Causes {
        /// The log files, with one JSON object per line.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// What to group the counts by.
        #[arg(long, value_enum, default_value_t)]
        by: CauseGroup,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Show or change which requests are rejected because targets exited while running them, on the
    /// users' platform.
    #[command(subcommand)]
    Quarantine(QuarantineCommand),
    /// Report how fast each catalogue entry uses up its error budget.
    Burn {
        /// How to reach the entries.
        #[command(flatten)]
        fleet: FleetArgs,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        format: ReportFormat,
    },
}

/// The catalogue commands.
#[derive(Debug, Subcommand)]
pub enum CatalogueCommand {
    /// Print the catalogue in force, as a file that `apply` accepts.
    Get {
        /// The key-value service to use.
        #[command(flatten)]
        service: ServiceArgs,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Show how a file differs from the catalogue in force.
    Diff {
        /// The key-value service to use.
        #[command(flatten)]
        service: ServiceArgs,
        /// The catalogue file.
        file: PathBuf,
    },
    /// Apply a file to the catalogue, unless the catalogue has changed since the revision that the
    /// file is based on.
    Apply {
        /// The key-value service to use.
        #[command(flatten)]
        service: ServiceArgs,
        /// The catalogue file.
        file: PathBuf,
        /// The revision that the file is based on, instead of the one in its `# revision` line.
        #[arg(long)]
        based_on: Option<i64>,
        /// Remove items that the file lacks.
        #[arg(long)]
        remove: bool,
        /// The author of the change.
        #[arg(long, env = "USER", default_value = "unknown")]
        author: String,
    },
    /// List the versions of an item.
    History {
        /// The key-value service to use.
        #[command(flatten)]
        service: ServiceArgs,
        /// The item, such as `entry briefing-llm`.
        item: String,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
}

/// The quarantine commands.
#[derive(Debug, Subcommand)]
pub enum QuarantineCommand {
    /// List the requests that are suspected or held, with the targets that exited.
    List {
        /// The key-value service to use.
        #[command(flatten)]
        service: ServiceArgs,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Reject a request until the hold is lifted.
    Pin {
        /// The key-value service to use.
        #[command(flatten)]
        service: ServiceArgs,
        /// The digest of the request, as shown in the logs.
        digest: String,
    },
    /// Accept a request again; targets that exited before no longer count against it.
    Lift {
        /// The key-value service to use.
        #[command(flatten)]
        service: ServiceArgs,
        /// The digest of the request, as shown in the logs.
        digest: String,
    },
}

/// How to reach the key-value service.
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

/// Output format of a result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// JSON, for scripts.
    Json,
}

/// What the counts of causes are grouped by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum CauseGroup {
    /// The second in which requests ended.
    #[default]
    Second,
    /// The VM that the log collector names before each line.
    Vm,
    /// The route of the request.
    Route,
    /// The target to which a request was sent last.
    Target,
    /// The digest of requests that were running on a target when it exited, or that the quarantine
    /// rejected; other requests are not counted.
    Digest,
    /// The parts of the prompt of requests that were running on a target when it exited, or that
    /// the quarantine rejected; other requests are not counted.
    Part,
}

impl CauseGroup {
    /// The name in flags and output.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Second => "second",
            Self::Vm => "vm",
            Self::Route => "route",
            Self::Target => "target",
            Self::Digest => "digest",
            Self::Part => "part",
        }
    }
}

/// Output format of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum ReportFormat {
    /// A table.
    #[default]
    Text,
    /// JSON, for scripts.
    Json,
    /// An HTML page with plots.
    Html,
}
