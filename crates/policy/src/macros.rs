//! The derive sets shared by the workspace, so that types of one kind derive the same traits.

/// Declares a plain data type with one of the shared derive sets.
///
/// - `data`: owned data that is serialized, such as messages between hosts.
/// - `value`: small `Copy` data that is serialized.
/// - `state`: state that is local to one host and not serialized.
#[macro_export]
macro_rules! plain {
    (data $(#[$meta:meta])* $vis:vis $kind:ident $name:ident $($rest:tt)*) => {
        #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $(#[$meta])* $vis $kind $name $($rest)*
    };
    (value $(#[$meta:meta])* $vis:vis $kind:ident $name:ident $($rest:tt)*) => {
        #[derive(Debug, Clone, Copy, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $(#[$meta])* $vis $kind $name $($rest)*
    };
    (state $(#[$meta:meta])* $vis:vis $kind:ident $name:ident $($rest:tt)*) => {
        #[derive(Debug, Clone)]
        $(#[$meta])* $vis $kind $name $($rest)*
    };
}
