//! What can be said.

use crate::query::Query;
use std::fmt;

macro_rules! words {
    ($(#[$meta:meta])* $name:ident { $($(#[$vmeta:meta])* $variant:ident = $word:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name { $($(#[$vmeta])* $variant,)* }

        impl $name {
            /// Every one, with its word.
            pub const WORDS: &[(Self, &str)] = &[$((Self::$variant, $word)),*];

            /// Its word.
            #[must_use]
            pub fn word(self) -> &'static str {
                match self { $(Self::$variant => $word),* }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.word())
            }
        }
    };
}

words! {
    /// The first word of a command.
    Verb {
        /// Show a table.
        Show = "show",
        /// Show a table again and again.
        Watch = "watch",
        /// Explain.
        Why = "why",
        /// Make an entity.
        Create = "create",
        /// Change an entity.
        Set = "set",
        /// Remove an entity.
        Delete = "delete",
        /// No new work.
        Drain = "drain",
        /// Work again.
        Undrain = "undrain",
        /// No new work for a failure domain.
        Evacuate = "evacuate",
        /// Work again for it.
        TakeBack = "take-back",
        /// Compare versions.
        Diff = "diff",
        /// Go back to a version.
        Undo = "undo",
    }
}

words! {
    /// What can be shown.
    Table {
        /// Services of the configuration.
        Services = "services",
        /// Organisations of the configuration.
        Organisations = "organisations",
        /// Upstreams, as configured and as each gateway sees them.
        Upstreams = "upstreams",
        /// Routing rules of the configuration.
        Rules = "rules",
        /// Gateways that answer.
        Vms = "vms",
        /// Requests in progress.
        Requests = "requests",
        /// Leases and their holders.
        Leases = "leases",
        /// Evacuated failure domains.
        Evacuations = "evacuations",
        /// The configuration's version and who made it.
        Config = "config",
        /// The last changes.
        History = "history",
    }
}

words! {
    /// What can be created, set and deleted.
    Kind {
        /// A service.
        Service = "service",
        /// An organisation.
        Organisation = "organisation",
        /// An upstream.
        Upstream = "upstream",
        /// A routing rule.
        Rule = "rule",
    }
}

/// What is to be explained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Why {
    /// Where a request went, and why.
    Request(String),
    /// Why an upstream gets work or does not.
    Upstream(String),
}

/// `FIELD=VALUE`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The field, a key of the fleet file.
    pub field: String,
    /// The value, in the form of the fleet file.
    pub value: String,
}

/// One command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Show a table once.
    Show(Query),
    /// Show a table again and again.
    Watch(Query),
    /// Explain.
    Why(Why),
    /// Make a new entity.
    Create(Kind, String, Vec<Assignment>),
    /// Change fields of an entity.
    Set(Kind, String, Vec<Assignment>),
    /// Remove an entity.
    Delete(Kind, String),
    /// Give an upstream no new work.
    Drain(String),
    /// Give an upstream work again.
    Undrain(String),
    /// Give the upstreams of a failure domain no new work.
    Evacuate(String),
    /// Give them work again.
    TakeBack(String),
    /// What changed from one version to another (or to now).
    Diff(u64, Option<u64>),
    /// Put an earlier version in force, as a new one.
    Undo(u64),
}

impl Command {
    /// Whether it changes the configuration.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_language::parse;
    /// assert!(parse("drain e1").unwrap().changes());
    /// assert!(!parse("show vms").unwrap().changes());
    /// ```
    #[must_use]
    pub fn changes(&self) -> bool {
        match self {
            Self::Show(_) | Self::Watch(_) | Self::Why(_) | Self::Diff(..) => false,
            Self::Create(..)
            | Self::Set(..)
            | Self::Delete(..)
            | Self::Drain(_)
            | Self::Undrain(_)
            | Self::Evacuate(_)
            | Self::TakeBack(_)
            | Self::Undo(_) => true,
        }
    }
}

/// Fields whose values are secrets and never shown.
const SECRET: &str = "key";

impl fmt::Display for Command {
    /// Writes the command as it can be parsed, with secrets left out.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let assignments = |f: &mut fmt::Formatter<'_>, list: &[Assignment]| {
            list.iter().try_for_each(|a| match a.field.as_str() {
                SECRET => write!(f, " {SECRET}=***"),
                field => write!(f, " {field}={}", quoted(&a.value)),
            })
        };
        match self {
            Self::Show(q) => write!(f, "show {q}"),
            Self::Watch(q) => write!(f, "watch {q}"),
            Self::Why(Why::Request(id)) => write!(f, "why request {id}"),
            Self::Why(Why::Upstream(name)) => write!(f, "why upstream {name}"),
            Self::Create(kind, name, list) => {
                write!(f, "create {kind} {name}")?;
                assignments(f, list)
            }
            Self::Set(kind, name, list) => {
                write!(f, "set {kind} {name}")?;
                assignments(f, list)
            }
            Self::Delete(kind, name) => write!(f, "delete {kind} {name}"),
            Self::Drain(name) => write!(f, "drain {name}"),
            Self::Undrain(name) => write!(f, "undrain {name}"),
            Self::Evacuate(name) => write!(f, "evacuate {name}"),
            Self::TakeBack(name) => write!(f, "take-back {name}"),
            Self::Diff(from, None) => write!(f, "diff {from}"),
            Self::Diff(from, Some(to)) => write!(f, "diff {from} {to}"),
            Self::Undo(version) => write!(f, "undo {version}"),
        }
    }
}

/// A value in quotes if it needs them.
pub(crate) fn quoted(value: &str) -> String {
    let bare = !value.is_empty() && value.chars().all(is_bare);
    if bare {
        value.to_owned()
    } else {
        format!("\"{value}\"")
    }
}

/// Characters of a word without quotes.
pub(crate) fn is_bare(c: char) -> bool {
    c.is_alphanumeric() || "-_.:/,*@%+".contains(c)
}
