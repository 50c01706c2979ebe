/**
 * Lends parts of the endpoint's request rate to entries that need more than
 * their share, for example while the endpoints of their own data centre are
 * evacuated. A loan expires by itself: an entry that is cut off falls back to
 * its share, and the rate is lent again only after the entry has stopped to use
 * it.
 */

import { splitColdLimit } from "../limits/mod.ts";

/** Entries count this from the time at which they asked. */
export const LOAN_MS = 2_000;
/**
 * The limit applies to any second, so a loan blocks its rate for one more
 * second after the entry has sent its last request.
 */
const WINDOW_MS = 1_000;

export interface RateLoans {
  /** Share of each entry; undefined until the limit is known. */
  sharePerS(): number | undefined;
  /** Returns the rate that the entry may use in addition to its share. */
  lend(entryHost: string, wantedPerS: number): number;
}

interface Loan {
  readonly ratePerS: number;
  readonly blockedUntilMs: number;
}

export interface RateLoansOptions {
  readonly nowMs: () => number;
  /** Bound for all entries together; undefined while it is not known. */
  readonly readLimitPerS: () => number | undefined;
  readonly countPartners: () => number;
}

export function createRateLoans(options: RateLoansOptions): RateLoans {
  const { nowMs, readLimitPerS, countPartners } = options;
  const loans = new Map<string, readonly Loan[]>();
  /** Loans of the agent's former process have expired by then. */
  const firstLoanAtMs = nowMs() + LOAN_MS + WINDOW_MS;

  function listBlocked(host: string): readonly Loan[] {
    const now = nowMs();
    return (loans.get(host) ?? []).filter((loan) => loan.blockedUntilMs > now);
  }

  function readBlockedPerS(host: string): number {
    return Math.max(0, ...listBlocked(host).map(({ ratePerS }) => ratePerS));
  }

  function split() {
    const limitPerS = readLimitPerS();
    return limitPerS === undefined
      ? undefined
      : splitColdLimit(limitPerS, countPartners());
  }

  return {
    sharePerS: () => split()?.sharePerS,
    lend(entryHost, wantedPerS) {
      const parts = split();
      if (parts === undefined || nowMs() < firstLoanAtMs) return 0;
      const others = [...loans.keys()]
        .filter((host) => host !== entryHost)
        .reduce((sum, host) => sum + readBlockedPerS(host), 0);
      const ratePerS = Math.max(
        0,
        Math.min(
          Math.ceil(wantedPerS) - parts.sharePerS,
          parts.poolPerS - others,
        ),
      );
      const blockedUntilMs = nowMs() + LOAN_MS + WINDOW_MS;
      loans.set(entryHost, [
        ...listBlocked(entryHost),
        ...(ratePerS > 0 ? [{ ratePerS, blockedUntilMs }] : []),
      ]);
      if (loans.get(entryHost)!.length === 0) loans.delete(entryHost);
      return ratePerS;
    },
  };
}
