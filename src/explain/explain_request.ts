/** Reconstructs what happened to one request from log records. */

import { sortByTime } from "./parse_records.ts";
import type { LogRecord } from "./parse_records.ts";

export interface Explanation {
  /** In chronological order. */
  readonly steps: readonly LogRecord[];
  /** Probable cause of the outcome; undefined if it is not known. */
  readonly cause: string | undefined;
}

/** Cause for each reason of a refusal or failure. */
const CAUSES: Readonly<Record<string, string>> = {
  too_busy:
    "every endpoint would have answered later than the latency objective, behind other requests; refused at once",
  no_endpoint:
    "no endpoint of the service could be used: draining, evacuated, or switching weights",
  endpoints_leaving:
    "every endpoint that could be used had said in a response that it is leaving",
  endpoints_paused:
    "every endpoint that could be used had asked this entry, with a 503, to send nothing for a while",
  request_limit:
    "every endpoint that could be used names a request limit that left no request for this entry; refused at once",
  older_version:
    "every endpoint still served an older version of the weights, on which the request might have started after its bound",
  cold: "every usable endpoint already had this entry's share of the requests that a cold endpoint may run",
  stale_keys:
    "the entry had not reached the store, nor a peer that had, for so long that a revoked key could have been accepted",
  stale_configuration:
    "the entry's configuration was too old to reject the route or key as unknown",
  no_configuration: "the entry had not read a first configuration yet",
  no_route: "no route of the configuration matches the host and path",
  unknown_key: "no client account of the configuration has this key",
  leaving:
    "the entry was shutting down and refused requests that the shutdown could cut off",
  shutdown:
    "the entry answered the call at the end of its grace period; an endpoint may have run the request unless the response was a 503",
  crashes_endpoints:
    "the same request recently broke its connection at three endpoints; it is quarantined for a while",
  unknown_service: "the route's service is not in the configuration",
  headers_too_large: "the headers exceed the configured limit",
  body_too_large: "the body exceeds the configured limit",
  body_too_slow: "the body was not complete by the deadline of the call",
  buffers_full:
    "all bodies that the entry held together were too large, and this one was the largest",
  not_sent: "no connection to any endpoint tried could be opened",
  not_run: "the endpoints tried refused the request without running it",
  failed:
    "a fault of ours: the entry failed to handle the request, see the line with its error",
  lost: "the endpoint's connection broke and the request may not run again, or the retry budget or the route's attempts were used up",
  deadline: "the caller's or the route's deadline had passed",
};

/** Cause for a call whose logs have no final line. */
const NO_END =
  "the entry ended while the call was in progress, or its last lines were lost; an endpoint may have run the request";

export function explainRequest(
  records: readonly LogRecord[],
  id: string,
): Explanation {
  const steps = sortByTime(records.filter(({ fields }) => fields["id"] === id));
  return { steps, cause: findCause(steps) };
}

function findCause(steps: readonly LogRecord[]): string | undefined {
  const last = steps.findLast(
    ({ message }) =>
      message === "call ended" ||
      message === "request refused" ||
      message === "the caller has left",
  );
  if (last === undefined) return steps.length > 0 ? NO_END : undefined;
  if (last.message === "the caller has left") {
    return "the caller closed its connection before the response was complete";
  }
  const { outcome, reason, status } = last.fields;
  if (outcome === "answered" && Number(status) >= 500) {
    return `the endpoint itself answered ${String(status)}`;
  }
  return describeCause(String(outcome), String(reason));
}

/** Cause for the outcome and reason of a call; undefined if unknown. */
export function describeCause(
  outcome: string,
  reason: string,
): string | undefined {
  if (outcome === "answered") return "answered in full";
  return CAUSES[outcome === "expired" ? "deadline" : reason];
}

/** Reasons that `explainRequest` knows; a test compares them with the docs. */
export function listKnownReasons(): readonly string[] {
  return Object.keys(CAUSES);
}
