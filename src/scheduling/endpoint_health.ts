/**
 * Passive health checks: detects failing endpoints from the outcomes of their
 * requests, because their health endpoints can report wrongly either way. A
 * failing endpoint is avoided during an exponential backoff, after which one
 * request tries it; the others follow once it has answered. A success after the
 * backoff resets it.
 */

const INITIAL_BACKOFF_MS = 400;
const MAX_BACKOFF_MS = 4_000;
/** Weight of the newest outcome in the moving average of failures. */
const SMOOTHING_FACTOR = 0.1;
/**
 * Endpoints fail some requests in normal operation. A higher failure rate than
 * this is a fault and starts a backoff; an unreachable endpoint starts it at
 * once.
 */
const BACKOFF_FAILURE_RATE = 0.5;

/** A request that tries an endpoint holds up others for this time at most. */
const MAX_TRIAL_MS = 1_500;

export interface EndpointHealth {
  /** Also true while a request tries the endpoint after its backoff. */
  isInBackoff(id: string): boolean;
  /** Moving average of failed requests, from 0 to 1. */
  failureRate(id: string): number;
  /** The endpoint could not be reached or did not respond. */
  onUnreachable(id: string): void;
  onFailure(id: string): void;
  onSuccess(id: string): void;
  /** A request is about to be sent there. */
  onSend(id: string): void;
  /** The head of a response has arrived. */
  onResponse(id: string): void;
}

interface HealthRecord {
  failureRate: number;
  backoffMs: number;
  backoffUntilMs: number;
  /** True from the start of a backoff until a response arrives after it. */
  isUntried: boolean;
  trialSentAtMs: number;
}

export function createEndpointHealth(nowMs: () => number): EndpointHealth {
  const records = new Map<string, HealthRecord>();

  function findOrCreate(id: string): HealthRecord {
    const found = records.get(id);
    if (found !== undefined) return found;
    const created: HealthRecord = {
      failureRate: 0,
      backoffMs: 0,
      backoffUntilMs: -Infinity,
      isUntried: false,
      trialSentAtMs: -Infinity,
    };
    records.set(id, created);
    return created;
  }

  function startBackoff(record: HealthRecord) {
    const now = nowMs();
    // Requests in flight at the same time fail together and count once.
    if (now < record.backoffUntilMs) return;
    record.backoffMs = Math.min(
      MAX_BACKOFF_MS,
      Math.max(INITIAL_BACKOFF_MS, record.backoffMs * 2),
    );
    record.backoffUntilMs = now + record.backoffMs;
    record.isUntried = true;
    record.trialSentAtMs = -Infinity;
  }

  return {
    isInBackoff(id) {
      const record = records.get(id);
      if (record === undefined) return false;
      const now = nowMs();
      if (now < record.backoffUntilMs) return true;
      return record.isUntried && now - record.trialSentAtMs < MAX_TRIAL_MS;
    },
    failureRate: (id) => records.get(id)?.failureRate ?? 0,
    onUnreachable(id) {
      const record = findOrCreate(id);
      record.failureRate += SMOOTHING_FACTOR * (1 - record.failureRate);
      startBackoff(record);
    },
    onFailure(id) {
      const record = findOrCreate(id);
      record.failureRate += SMOOTHING_FACTOR * (1 - record.failureRate);
      if (record.failureRate > BACKOFF_FAILURE_RATE) startBackoff(record);
    },
    onSuccess(id) {
      const record = records.get(id);
      if (record === undefined) return;
      record.failureRate *= 1 - SMOOTHING_FACTOR;
      if (nowMs() >= record.backoffUntilMs) record.backoffMs = 0;
    },
    onSend(id) {
      const record = records.get(id);
      if (record === undefined || !record.isUntried) return;
      if (nowMs() >= record.backoffUntilMs) record.trialSentAtMs = nowMs();
    },
    onResponse(id) {
      const record = records.get(id);
      if (record === undefined) return;
      if (nowMs() >= record.backoffUntilMs) record.isUntried = false;
    },
  };
}
