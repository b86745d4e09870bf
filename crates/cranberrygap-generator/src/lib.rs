//! Generator of the message and settings types.
