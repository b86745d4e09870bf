//! Chooses an engine by the time to the first event of a stream.
//!
//! An engine prefills prompts one after the other, between the tokens of the streams that
//! it runs. The first event is late because of the prompt tokens that wait for prefill,
//! so those are counted: the entry's own sends exactly, those of other entries by what
//! they publish, and of the request itself what the engine does not have cached.

pub mod backlog;
pub mod home;
pub mod inquiry;
pub mod latency;
pub mod prefix_cache;
pub mod reports;
pub mod selection;
pub mod speed;
pub mod window;
