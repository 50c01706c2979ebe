/**
 * Holds one versioned value. Its version only increases, and only values that
 * the parser accepts are stored.
 */

import { createHash } from "node:crypto";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Clock } from "../membership/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Registry } from "../metrics/mod.ts";

export type Topic = "config" | "hosts";

/**
 * Twice the 1 MB limit of the platform; a list of 4,100 hosts also has almost
 * 1 MB.
 */
export const MAX_VALUE_BYTES = 2 * 1024 * 1024;
/** Earlier values kept as delta bases for peers with an older version. */
const MAX_DELTA_BASES = 4;
/** Confirmation times of peers whose clocks are further ahead are clamped. */
const MAX_CLOCK_SKEW_MS = 2_000;
const CONFLICT_DIGITS = 16;

export interface Snapshot<T> {
  readonly version: number;
  readonly bytes: Buffer;
  /** SHA-256 of `bytes`, hexadecimal. */
  readonly digest: string;
  readonly publishedAtMs: number;
  readonly value: T;
}

export interface OfferedSnapshot {
  readonly version: number;
  readonly bytes: Buffer;
  readonly publishedAtMs: number;
  /** Time at which the platform was known to have published this version. */
  readonly confirmedAtMs: number;
}

export type RejectionReason =
  | "older_version"
  | "conflicting_digest"
  | "bad_digest"
  | "invalid_document"
  | "below_floor"
  | "too_large";

export interface SnapshotStore<T = unknown> {
  readonly topic: Topic;
  /** The value in force. */
  current(): Snapshot<T> | undefined;
  /** The latest accepted value, whether in force or not. */
  held(): Snapshot<T> | undefined;
  /** Versions up to this one are held, invalid or below the floor. */
  knownVersion(): number;
  /** The highest version that was rejected as invalid; 0 if there is none. */
  invalidVersion(): number;
  confirmedAtMs(): number;
  offer(
    offered: OfferedSnapshot,
  ): Result<"accepted" | "unchanged", RejectionReason>;
  /** Records that `version` was the published one at this time. */
  confirm(version: number, atMs: number): void;
  /**
   * False if another process holds a different value of the same version; each
   * process keeps its own until the next version. A conflict is counted once
   * for each digest.
   */
  matchesDigest(version: number, digestPrefix: string): boolean;
  reject(reason: RejectionReason, details: object): void;
  /** Puts the held value in force, and later ones once they are accepted. */
  activate(): void;
  isActive(): boolean;
  /** Raises the lowest version that can be accepted or in force. */
  raiseFloor(version: number): void;
  findBase(version: number, digest: string): Buffer | undefined;
  /** The handler is called when a value is accepted, in force or not. */
  onAccepted(handler: () => void): void;
  /** The handler is called when the value in force has changed. */
  onChange(handler: () => void): void;
}

export interface SnapshotStoreOptions<T> {
  /** Fails with one message for each problem. */
  readonly parse: (text: string) => Result<T, readonly string[]>;
  readonly clock: Clock;
  readonly registry: Registry;
  readonly logger: Logger;
}

export function createSnapshotStore<T>(
  topic: Topic,
  options: SnapshotStoreOptions<T>,
): SnapshotStore<T> {
  const { parse, clock, registry, logger } = options;
  const rejections = registry.counter(
    "snapshot_rejections_total",
    "Snapshots not accepted by topic and reason",
  );
  const acceptances = registry.counter(
    "snapshot_acceptances_total",
    "Snapshots accepted by topic",
  );
  const acceptedHandlers: (() => void)[] = [];
  const changeHandlers: (() => void)[] = [];
  let bases: readonly Snapshot<T>[] = [];
  let held: Snapshot<T> | undefined;
  let isActive = false;
  let confirmedAtMs = 0;
  let floor = 0;
  let invalidVersion = 0;
  let lastConflict = "";

  function reject(reason: RejectionReason, details: object) {
    rejections.increment({ topic, reason });
    logger.warn({ topic, reason, ...details }, "Snapshot rejected");
    return err(reason);
  }

  function confirm(version: number, atMs: number) {
    if (held === undefined || version !== held.version) return;
    const latestMs = clock.wallMs() + MAX_CLOCK_SKEW_MS;
    confirmedAtMs = Math.max(confirmedAtMs, Math.min(atMs, latestMs));
  }

  /** A parser exception must not stop every process that reads the document. */
  function parseSafely(text: string): Result<T, readonly string[]> {
    try {
      return parse(text);
    } catch (error) {
      return err([`The parser failed: ${String(error)}`]);
    }
  }

  function recordConflict(version: number, digest: string) {
    const conflict = `${version} ${digest.slice(0, CONFLICT_DIGITS)}`;
    if (conflict === lastConflict) return;
    lastConflict = conflict;
    reject("conflicting_digest", { version, digest });
  }

  function current() {
    if (!isActive || held === undefined || held.version < floor) return;
    return held;
  }

  function notifyChange() {
    if (current() !== undefined) changeHandlers.forEach((handle) => handle());
  }

  return {
    topic,
    current,
    held: () => held,
    knownVersion: () => Math.max(held?.version ?? 0, invalidVersion, floor - 1),
    invalidVersion: () => invalidVersion,
    confirmedAtMs: () => confirmedAtMs,
    offer(offered) {
      const { version, bytes, publishedAtMs } = offered;
      const heldVersion = held?.version ?? 0;
      if (version < heldVersion) {
        return reject("older_version", { version, heldVersion });
      }
      if (bytes.length > MAX_VALUE_BYTES) {
        return reject("too_large", { version, sizeBytes: bytes.length });
      }
      const digest = computeDigest(bytes);
      if (held !== undefined && version === heldVersion) {
        if (digest !== held.digest) {
          recordConflict(version, digest);
          return err("conflicting_digest");
        }
        confirm(version, offered.confirmedAtMs);
        return ok("unchanged");
      }
      if (version < floor) return reject("below_floor", { version, floor });
      const parsed = parseSafely(bytes.toString("utf8"));
      if (parsed.isErr()) {
        invalidVersion = Math.max(invalidVersion, version);
        return reject("invalid_document", { version, findings: parsed.error });
      }
      if (held !== undefined)
        bases = [held, ...bases].slice(0, MAX_DELTA_BASES);
      held = { version, bytes, digest, publishedAtMs, value: parsed.value };
      confirmedAtMs = 0;
      confirm(version, offered.confirmedAtMs);
      acceptances.increment({ topic });
      logger.info({ topic, version, digest }, "Snapshot accepted");
      acceptedHandlers.forEach((handle) => handle());
      if (isActive) notifyChange();
      return ok("accepted");
    },
    confirm,
    matchesDigest(version, digestPrefix) {
      if (version !== held?.version) return true;
      if (held.digest.startsWith(digestPrefix)) return true;
      recordConflict(version, digestPrefix);
      return false;
    },
    reject,
    activate() {
      if (isActive) return;
      isActive = true;
      notifyChange();
    },
    isActive: () => isActive,
    raiseFloor(version) {
      floor = Math.max(floor, version);
    },
    findBase(version, digest) {
      if (held === undefined) return;
      return [held, ...bases].find(
        (base) => base.version === version && base.digest === digest,
      )?.bytes;
    },
    onAccepted: (handler) => void acceptedHandlers.push(handler),
    onChange: (handler) => void changeHandlers.push(handler),
  };
}

export function computeDigest(bytes: Uint8Array): string {
  return createHash("sha256").update(bytes).digest("hex");
}
