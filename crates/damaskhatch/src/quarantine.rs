//! The operators' interface to quarantined requests: list them, and lift a quarantine.

use actix_web::{HttpResponse, web};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::strike::Quarantine;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::control::strikes::Lift;
use crate::operator::{Operator, unavailable};

/// A request that is refused because upstreams crashed under it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// The fingerprint of the request, as in the decision log.
    pub fingerprint: String,
    /// The rest of the quarantine, in seconds.
    pub left_s: u64,
    /// The names of the upstreams that crashed, in the order of their crashes.
    pub crashed: Vec<String>,
}

/// The body of `/v1/quarantine/lift`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LiftBody {
    /// The fingerprint of the request, in hexadecimal.
    pub fingerprint: String,
}

/// Adds the routes for quarantined requests.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/v1/quarantine", web::get().to(list))
        .route("/v1/quarantine/lift", web::post().to(lift));
}

async fn list(operator: web::Data<Operator>) -> HttpResponse {
    let (ledger, now) = (operator.shared.strike_ledger(), Instant::now());
    let refused = ledger.culprits().filter_map(|fingerprint| {
        let Quarantine { left, crashed, .. } = ledger.quarantine(fingerprint, now)?;
        Some(Entry { fingerprint: fingerprint.to_string(), left_s: left.as_secs(), crashed })
    });
    HttpResponse::Ok().json(refused.collect::<Vec<_>>())
}

/// Clears the strikes of a request on all hosts; it is refused again after two more crashes.
async fn lift(operator: web::Data<Operator>, body: web::Json<LiftBody>) -> HttpResponse {
    let text = &body.fingerprint;
    let Ok(fingerprint) = u64::from_str_radix(text, 16).map(Tag) else {
        let error = format!("fingerprint {text:?} is not a hexadecimal number of 64 bits");
        return HttpResponse::UnprocessableEntity().json(json!({ "error": error }));
    };
    match operator.control.strikes.send(Lift(fingerprint)).await {
        Ok(0) => HttpResponse::NotFound()
            .json(json!({ "error": format!("the host knows no strikes of {fingerprint}") })),
        Ok(strikes) => HttpResponse::Ok().json(json!({ "cleared": strikes })),
        Err(_restarting) => unavailable("the strikes actor is restarting; try again"),
    }
}
