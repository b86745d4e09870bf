//! Serving system that runs many models on fewer accelerators.
