/**
 * The quarantined prompt parts, and when a request may try one of them again.
 * The period before a trial grows with each trial that ends in a crash.
 */

const PERIOD_FACTOR = 4;
const MAX_PERIOD_MS = 10 * 60 * 1_000;
/** Verdicts up to this period have not been confirmed by a trial. */
export const INITIAL_PERIOD_MS = 15_000;
/**
 * Delay before a request that tells two parts apart is tried. Requests with
 * the crashing one that are in progress have ended by then.
 */
const DISTINCTION_DELAY_MS = 1_000;
/** Time for the outcome of a trial. */
const TRIAL_MS = 3_000;
/** Longer than a notice of a trial takes to reach all entries. */
const TRIAL_STAGGER_MS = 250;
const MAX_TRIAL_RANK = 12;
/** A part that nobody has requested for this long is forgotten. */
const IDLE_TTL_MS = 10 * 60 * 1_000;
const MAX_QUARANTINED = 256;

export interface PartVerdict {
  readonly part: string;
  /** Other parts that explain the same crashes as well. */
  readonly rivals: readonly string[];
  readonly periodMs: number;
  /** Time of the verdict or of the last crash since. */
  readonly sinceMs: number;
  readonly dueAtMs: number;
  /** True while it follows from the crashes that this entry knows of. */
  readonly isOwn: boolean;
}

export interface QuarantinedPart extends PartVerdict {
  readonly isOnTrial: boolean;
  readonly trialEndMs: number;
}

export interface PartRefusal {
  readonly part: string;
  /** Time until this entry may send a request with the part. */
  readonly remainingMs: number;
}

export interface QuarantinedParts {
  has(part: string): boolean;
  find(parts: readonly string[]): readonly QuarantinedPart[];
  list(): readonly QuarantinedPart[];
  add(verdict: PartVerdict): void;
  delete(part: string): void;
  /** Takes over a longer period; returns false if the known one is as long. */
  prolong(part: string, verdict: PartVerdict): boolean;
  /** Records a crash; returns true if it decides a trial of the part. */
  recordCrash(
    part: string,
    crash: { readonly atMs: number; readonly hasOtherCause: boolean },
  ): boolean;
  /** Returns false if a trial is known to be in progress. */
  startTrial(part: string): boolean;
  /** Returns why a request with these quarantined parts may not be sent yet. */
  findRefusal(found: readonly QuarantinedPart[]): PartRefusal | undefined;
}

export function createQuarantinedParts(options: {
  readonly nowMs: () => number;
  /** Place of this entry among all entries in the order of trials. */
  readonly rankForTrial: (part: string) => number;
}): QuarantinedParts {
  const { nowMs, rankForTrial } = options;
  // The oldest verdict comes first.
  const quarantined = new Map<string, QuarantinedPart>();

  function update(part: string, change: Partial<QuarantinedPart>) {
    quarantined.set(part, { ...quarantined.get(part)!, ...change });
  }

  function removeIdle() {
    [...quarantined.values()]
      .filter(({ dueAtMs }) => nowMs() - dueAtMs > IDLE_TTL_MS)
      .forEach(({ part }) => quarantined.delete(part));
  }

  function computeDueAtMs(
    { part, rivals, sinceMs, dueAtMs, trialEndMs }: QuarantinedPart,
    found: readonly QuarantinedPart[],
  ): number {
    // A request with only one of several parts that explain the same crashes
    // tells them apart.
    const isDistinctive =
      found.length === 1 && rivals.some((rival) => quarantined.has(rival));
    const startMs = isDistinctive ? sinceMs + DISTINCTION_DELAY_MS : dueAtMs;
    const rank = Math.min(rankForTrial(part), MAX_TRIAL_RANK);
    return Math.max(startMs, trialEndMs) + rank * TRIAL_STAGGER_MS;
  }

  return {
    has: (part) => quarantined.has(part),
    find(parts) {
      if (quarantined.size === 0) return [];
      removeIdle();
      return parts.flatMap((part) => quarantined.get(part) ?? []);
    },
    list: () => [...quarantined.values()],
    add(verdict) {
      const { part } = verdict;
      quarantined.set(part, {
        ...verdict,
        periodMs: Math.min(verdict.periodMs, MAX_PERIOD_MS),
        isOnTrial: false,
        trialEndMs: -Infinity,
      });
      [...quarantined.keys()]
        .slice(0, Math.max(0, quarantined.size - MAX_QUARANTINED))
        .forEach((oldest) => quarantined.delete(oldest));
    },
    delete: (part) => void quarantined.delete(part),
    prolong(part, { periodMs, dueAtMs }) {
      const known = quarantined.get(part);
      if (known === undefined || periodMs <= known.periodMs) return false;
      update(part, { periodMs: Math.min(periodMs, MAX_PERIOD_MS), dueAtMs });
      return true;
    },
    recordCrash(part, { atMs, hasOtherCause }) {
      const found = quarantined.get(part);
      if (found === undefined) return false;
      const isInTrial = found.isOnTrial && atMs >= found.trialEndMs - TRIAL_MS;
      const isDecided = isInTrial && !hasOtherCause;
      const periodMs = isDecided
        ? Math.min(MAX_PERIOD_MS, found.periodMs * PERIOD_FACTOR)
        : found.periodMs;
      update(part, {
        periodMs,
        sinceMs: Math.max(found.sinceMs, atMs),
        dueAtMs: Math.max(found.dueAtMs, atMs + periodMs),
        ...(isDecided && { isOnTrial: false, isOwn: false }),
      });
      return isDecided;
    },
    startTrial(part) {
      const found = quarantined.get(part);
      const isKnown = found?.isOnTrial && nowMs() < found.trialEndMs;
      if (found === undefined || isKnown) return false;
      update(part, { isOnTrial: true, trialEndMs: nowMs() + TRIAL_MS });
      return true;
    },
    findRefusal(found) {
      const [last] = found
        .map((item) => ({
          part: item.part,
          remainingMs: computeDueAtMs(item, found) - nowMs(),
        }))
        .filter(({ remainingMs }) => remainingMs > 0)
        .sort((a, b) => b.remainingMs - a.remainingMs);
      return last;
    },
  };
}
