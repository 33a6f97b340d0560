//! How a task really behaves, as opposed to what it declares.

use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::IndexMap;
use jujubelb::model::{ClassName, Resources, Span, TaskId, TaskKind, TaskSpec};

/// Real behaviour of the tasks of a class.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Real run time; if absent, `pace` scales the declared one.
    pub duration: Option<Span>,
    /// Real run time as a share of the declared one, in thousandths, if `duration` is absent.
    pub pace: u64,
    /// Real resource usage as a share of the declared size, in thousandths.
    pub size: u64,
    /// Whether every attempt fails.
    pub fails: bool,
    /// Processor time by which one task slows the endpoints on its host, in thousandths of their service time.
    pub noise: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            duration: None,
            pace: 1_000,
            size: 1_000,
            fails: false,
            noise: 0,
        }
    }
}

/// Real behaviour of all classes; unknown classes behave as declared.
#[derive(Debug, Clone, Default)]
pub struct Behaviours(pub IndexMap<ClassName, Behaviour>);

impl Behaviours {
    /// The behaviour of a class.
    pub fn of(&self, class: &ClassName) -> Behaviour {
        self.0.get(class).cloned().unwrap_or_default()
    }

    /// Real run time of a task; `None` for a watcher, which never ends. Varies
    /// by up to a fifth between the tasks of a job and is the same for each attempt.
    pub fn duration(&self, task: &TaskId, spec: &TaskSpec) -> Option<Span> {
        if spec.kind == TaskKind::Watcher {
            return None;
        }
        let real = self.of(&spec.class);
        let declared = || spec.duration.map(|d| d.scale_up(real.pace, 1_000));
        let base = real.duration.or_else(declared)?;
        let mut hasher = DefaultHasher::new();
        task.hash(&mut hasher);
        Some(base.scale_up(900 + hasher.finish() % 200, 1_000))
    }

    /// Real resource usage of a task.
    pub fn usage(&self, spec: &TaskSpec) -> Resources {
        let size = self.of(&spec.class).size;
        Resources::new(
            spec.size.cpu.0 * size / 1_000,
            spec.size.memory.0 * size / 1_000,
            spec.size.accelerators,
        )
    }
}
