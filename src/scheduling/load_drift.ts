/**
 * Expects the requests of other entries at an endpoint while nothing newer is
 * heard of it. Entries that see few requests there send more, and those that
 * see many send fewer, so an older statement is worth less than the mean of all
 * endpoints of the kind.
 */

/** A deviation from the mean loses 63% in this time. */
const DECAY_MS = 200;
/** An older statement is of no use: requests start and end in less time. */
export const STATEMENT_VALID_MS = 3_000;
/** The mean is computed again after this, as it is read for each candidate. */
const MEAN_VALID_MS = 25;

export interface ExpectedRequests {
  readonly count: number;
  /** Standard deviation. */
  readonly spread: number;
}

export interface OtherRequests {
  /** Endpoints of one kind share their mean. */
  readonly kind: string;
  readonly count: number;
  readonly statedAtMs: number;
}

export interface LoadDrift {
  /** The newest statement on the endpoint replaces the one before. */
  record(address: string, others: OtherRequests): void;
  expect(address: string): ExpectedRequests;
}

const NONE: ExpectedRequests = { count: 0, spread: 0 };

export function createLoadDrift(nowMs: () => number): LoadDrift {
  const stated = new Map<string, OtherRequests>();
  let means: ReadonlyMap<string, number> = new Map();
  let meansAtMs = -Infinity;

  function readMean(kind: string): number {
    const now = nowMs();
    if (now - meansAtMs >= MEAN_VALID_MS) {
      meansAtMs = now;
      [...stated]
        .filter(([, others]) => !isValid(others, now))
        .forEach(([address]) => stated.delete(address));
      means = computeMeans([...stated.values()]);
    }
    return means.get(kind) ?? 0;
  }

  return {
    record: (address, others) => void stated.set(address, others),
    expect(address) {
      const others = stated.get(address);
      const now = nowMs();
      if (others === undefined || !isValid(others, now)) return NONE;
      const mean = readMean(others.kind);
      const ageMs = Math.max(0, now - others.statedAtMs);
      const kept = Math.exp(-ageMs / DECAY_MS);
      return {
        count: mean + (others.count - mean) * kept,
        spread: Math.sqrt(mean * (1 - kept * kept)),
      };
    },
  };
}

function isValid({ statedAtMs }: OtherRequests, now: number): boolean {
  return now - statedAtMs < STATEMENT_VALID_MS;
}

function computeMeans(
  stated: readonly OtherRequests[],
): ReadonlyMap<string, number> {
  const sums = new Map<string, { count: number; endpoints: number }>();
  stated.forEach(({ kind, count }) => {
    const sum = sums.get(kind) ?? { count: 0, endpoints: 0 };
    sum.count += count;
    sum.endpoints += 1;
    sums.set(kind, sum);
  });
  return new Map(
    [...sums].map(([kind, { count, endpoints }]) => [kind, count / endpoints]),
  );
}
