/** Checks a request before its body is read. */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { ClientAccount } from "../document/mod.ts";
import type { AccountLimits } from "../limits/mod.ts";
import type { AcceptedConfig, FleetView } from "../membership/mod.ts";
import { findAccount } from "./find_account.ts";
import { createNotRunRefusal } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

export interface AdmittedCaller {
  readonly config: AcceptedConfig;
  readonly account: ClientAccount;
}

export interface AdmitOptions {
  readonly view: FleetView;
  readonly limits: AccountLimits;
  readonly isRefusing: () => boolean;
}

export function admitCaller(
  authorization: string | undefined,
  { view, limits, isRefusing }: AdmitOptions,
): Result<AdmittedCaller, Refusal> {
  if (isRefusing()) {
    return err(
      createNotRunRefusal("shutting_down", "The entry is shutting down"),
    );
  }
  const config = view.config();
  if (config === undefined) {
    const message = "There is no configuration yet";
    return err(createNotRunRefusal("no_configuration", message));
  }
  if (view.isRecoveringFromPause()) {
    return err(createNotRunRefusal("waking", "The entry was paused"));
  }
  const account = findAccount(config.document, authorization);
  if (account === undefined) {
    const message = "No client account has the API key of this request";
    return err(createNotRunRefusal("unknown_account", message));
  }
  const retryAfterMs = limits.takeToken(account);
  if (retryAfterMs > 0) {
    const message = `The rate limit of client account ${account.name} is reached`;
    return err(createNotRunRefusal("account_rate", message, { retryAfterMs }));
  }
  return ok({ config, account });
}
