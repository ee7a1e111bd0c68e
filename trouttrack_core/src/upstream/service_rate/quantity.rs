//! The quantities that describe an upstream's speed.

use std::ops::{Index, IndexMut};

/// A time that an upstream takes for a unit of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Quantity {
    /// Time between two events of a stream, corrected for load.
    EventGap,
    /// Prefill time of a thousand prompt tokens.
    Prefill,
    /// Duration of a plain call as a multiple of the mean of its kind, recorded as if in seconds.
    Call,
}

impl Quantity {
    pub(crate) const ALL: [Self; 3] = [Self::EventGap, Self::Prefill, Self::Call];

    /// Assumed standard deviation of the logarithm of one independent sample, until it can be
    /// estimated from the differences between VMs.
    pub(super) fn assumed_noise(self) -> f64 {
        match self {
            Self::EventGap => 0.3,
            Self::Prefill => 0.5,
            Self::Call => 0.8,
        }
    }

    /// Error of the logarithm of a disturbed sample: one from a slow phase of the upstream, or,
    /// for prefill and calls, one that was delayed by work of other VMs.
    pub(super) fn disturbance(self) -> f64 {
        match self {
            Self::EventGap => 0.5,
            Self::Prefill | Self::Call => 0.8,
        }
    }
}

/// A value for each [`Quantity`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PerQuantity<T>([T; 3]);

impl<T> Index<Quantity> for PerQuantity<T> {
    type Output = T;

    fn index(&self, quantity: Quantity) -> &T {
        &self.0[quantity as usize]
    }
}

impl<T> IndexMut<Quantity> for PerQuantity<T> {
    fn index_mut(&mut self, quantity: Quantity) -> &mut T {
        &mut self.0[quantity as usize]
    }
}
