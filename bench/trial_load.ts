/**
 * Generates the two loads of the demo and the measurements: streamed
 * completions of the model, and bookings that must run once.
 */

import { sendCompletion } from "./call.ts";
import type { CallResult } from "./call.ts";
import { processUrl } from "./fleet_hosts.ts";
import { ACCOUNTS } from "./fleet_plan.ts";
import type { BenchAccount, FleetPlan } from "./fleet_plan.ts";
import { sendKeyedBooking } from "./keyed_booking.ts";
import { startLoad } from "./load.ts";
import type { RunningLoad } from "./load.ts";
import { pickOne } from "./random.ts";
import type { Random } from "./random.ts";

export interface LanguageCallOptions {
  readonly plan: FleetPlan;
  readonly random: Random;
  /** Number of different prompts. */
  readonly promptCount: number;
  readonly minTokens: number;
  /** Number of different lengths; 1 makes all responses equally long. */
  readonly lengthCount: number;
  /** By default all accounts send the same load. */
  readonly pickAccount?: () => BenchAccount;
}

export interface LanguageResult extends CallResult {
  readonly priority: number;
}

export async function sendLanguageCall(
  options: LanguageCallOptions,
): Promise<LanguageResult> {
  const { plan, random, promptCount, minTokens, lengthCount } = options;
  const { pickAccount = () => pickOne(random, ACCOUNTS) } = options;
  const baseUrl = pickEntryUrl(plan, random);
  const account = pickAccount();
  const result = await sendCompletion({
    baseUrl,
    account,
    prompt: `Quotation ${Math.floor(random() * promptCount)}`,
    maxTokens: minTokens + Math.floor(random() * lengthCount),
  });
  return { ...result, priority: account.priority };
}

/**
 * Sends a request and, when it is refused, retries it after the delay that the
 * refusal gave. Returns the result of the last attempt; `onAttempt` receives
 * each result.
 */
export async function sendLanguageCallWithRetries(
  options: LanguageCallOptions,
  maxRetries: number,
  onAttempt: (result: LanguageResult) => void,
): Promise<LanguageResult> {
  const account = options.pickAccount?.() ?? pickOne(options.random, ACCOUNTS);
  const attemptOptions = { ...options, pickAccount: () => account };
  for (let retriesLeft = maxRetries; ; retriesLeft -= 1) {
    const result = await sendLanguageCall(attemptOptions);
    onAttempt(result);
    const { retryAfterMs } = result;
    if (retryAfterMs === undefined || retriesLeft === 0) return result;
    await new Promise((resolve) => setTimeout(resolve, retryAfterMs));
  }
}

export function startLanguageLoad(
  options: LanguageCallOptions & { readonly ratePerS: number },
): RunningLoad<LanguageResult> {
  const { ratePerS, random } = options;
  return startLoad({
    ratePerS,
    random,
    send: () => sendLanguageCall(options),
  });
}

export interface BookingLoadOptions {
  readonly plan: FleetPlan;
  readonly random: Random;
  readonly ratePerS: number;
}

export function startBookingLoad({
  plan,
  random,
  ratePerS,
}: BookingLoadOptions): RunningLoad<CallResult> {
  return startLoad({
    ratePerS,
    random,
    send: () => sendKeyedBooking(pickEntryUrl(plan, random), random),
  });
}

function pickEntryUrl({ hosts }: FleetPlan, random: Random): string {
  const entries = hosts.filter((host) => host.role === "entry");
  return processUrl(pickOne(random, entries));
}
