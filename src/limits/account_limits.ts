/**
 * Rate limits of client accounts. Entries share no state, so each enforces an
 * equal share of the limit by the number of live entries in the host list.
 */

import type { ClientAccount } from "../document/mod.ts";
import type { FleetView } from "../membership/mod.ts";
import { createTokenBucket } from "./token_bucket.ts";
import type { TokenBucket } from "./token_bucket.ts";

/** Upper limit of the wait, also returned for an account with a rate of 0. */
const MAX_WAIT_MS = 60_000;

export interface AccountLimits {
  /** Returns 0 if the request may run, otherwise the wait in milliseconds. */
  takeToken(account: ClientAccount): number;
}

export interface AccountLimitsOptions {
  /** Host name of this entry, which is counted even if the list lacks it. */
  readonly entry: string;
  readonly view: FleetView;
  readonly nowMs: () => number;
}

export function createAccountLimits(
  options: AccountLimitsOptions,
): AccountLimits {
  const { entry, view, nowMs } = options;
  const buckets = new Map<string, TokenBucket>();
  let liveEntries = countLiveEntries(view, entry);

  view.onChange(() => {
    liveEntries = countLiveEntries(view, entry);
    const accounts = view.config()?.document.clientAccounts ?? [];
    const byName = new Map(accounts.map((account) => [account.name, account]));
    [...buckets].forEach(([name, bucket]) => {
      const account = byName.get(name);
      if (account === undefined) buckets.delete(name);
      else bucket.setRate(computeRatePerS(account), computeBurst(account));
    });
  });

  function computeRatePerS(account: ClientAccount): number {
    return account.requestsPerS / liveEntries;
  }

  function computeBurst(account: ClientAccount): number {
    return Math.max(1, computeRatePerS(account));
  }

  return {
    takeToken(account) {
      let bucket = buckets.get(account.name);
      if (bucket === undefined) {
        bucket = createTokenBucket({
          ratePerS: computeRatePerS(account),
          burst: computeBurst(account),
          nowMs,
        });
        buckets.set(account.name, bucket);
      }
      return bucket.take() ? 0 : Math.min(bucket.waitMs(), MAX_WAIT_MS);
    },
  };
}

function countLiveEntries(view: FleetView, entry: string): number {
  const live = view
    .hosts()
    .hosts.filter((host) => host.role === "entry" && host.state === "live");
  return new Set([entry, ...live.map((host) => host.name)]).size;
}
