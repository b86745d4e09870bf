//! Chooses an engine by the time to the first event of a stream.
//!
//! An engine reads prompts one after the other, between the tokens of the streams
//! that it runs. What makes a first event late is the number of prompt tokens
//! that wait to be read there, so that is what is counted: own sends exactly,
//! those of other entries by what they tell, and of the request itself what the
//! engine does not keep already.

pub mod backlog;
pub mod latency;
pub mod prefix_cache;
pub mod selection;
pub mod window;
