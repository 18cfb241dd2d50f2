//! Builds the request for an upstream.

use crate::core::Core;
use crate::fleet::Flight;
use crate::job::Job;
use crate::ports::Dispatch;
use crate::relay::headers::upstream_headers;
use crate::relay::transfer::{Transfer, cache_namespace, plan_transfer, private_namespace};
use http::Request;
use http_body_util::Full;

pub(super) fn build_dispatch(
    core: &Core,
    job: &Job,
    flight: &mut Flight,
    resume_after: Option<u64>,
) -> Dispatch {
    let isolated = job.team.as_ref().filter(|team| team.isolated);
    let is_prompt = job.head.model.is_some();
    let is_unknown =
        is_prompt && flight.weights.is_none() && core.fleet.lock().states_weights(job.service());
    let namespace = if is_unknown {
        private_namespace(&job.head.id)
    } else {
        cache_namespace(flight.weights, isolated.map(|team| team.name.as_str()))
    };
    let transfer = if is_prompt && !is_unknown {
        plan_transfer(core, job, flight)
    } else {
        Transfer::default()
    };
    let priority = if core.admits_by_backlog() {
        job.rank()
    } else {
        job.priority()
    };
    Dispatch {
        time_left: job.time_left(),
        upstream: Some(flight.id.clone()),
        team: job.team.as_ref().map(|team| team.name.clone()),
        namespace: is_prompt.then_some(namespace),
        weights: flight.weights.filter(|_| is_prompt),
        fetch: transfer.fetch,
        save: transfer.save,
        priority: is_prompt.then_some(priority),
        after: resume_after,
    }
}

pub(super) fn build_request(
    core: &Core,
    job: &Job,
    dispatch: &Dispatch,
) -> Result<Request<Full<hyper::body::Bytes>>, http::Error> {
    let target = job
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(target)
        .body(Full::new(job.body.clone()))?;
    *request.headers_mut() = upstream_headers(&job.headers, dispatch, core.ports.headers.as_ref());
    Ok(request)
}
