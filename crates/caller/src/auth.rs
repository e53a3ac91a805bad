//! Authentication of callers by bearer key.

use berylhook_operator::{Account, Catalogue};
use poem::http::HeaderMap;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::error_response::{ErrorReason, ErrorResponse};

/// Returns the account whose bearer key is in the request headers.
pub(crate) fn authenticate<'a>(
    catalogue: &'a Catalogue,
    headers: &HeaderMap,
) -> Result<&'a Account, ErrorResponse> {
    let key = headers
        .get("authorization")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| {
            let message = "send your key in the header `Authorization: Bearer KEY`";
            ErrorResponse::not_run(ErrorReason::MissingKey, message)
        })?;
    let digest: [u8; 32] = Sha256::digest(key.trim().as_bytes()).into();
    catalogue
        .account_by_key(&digest)
        .filter(|account| bool::from(account.key_sha256.ct_eq(&digest)))
        .ok_or_else(|| {
            let message = "no account has this key; check it, or ask your operator for a new one";
            ErrorResponse::not_run(ErrorReason::InvalidKey, message)
        })
}
