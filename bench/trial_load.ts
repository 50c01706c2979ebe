/**
 * The two loads of the demo and the measures: streamed answers of the model,
 * and bookings that must run once.
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
  readonly prompts: number;
  readonly minTokens: number;
  /** Number of different lengths; 1 makes all answers equally long. */
  readonly lengths: number;
  /** By default each account sends equally much. */
  readonly pickAccount?: () => BenchAccount;
}

export interface LanguageResult extends CallResult {
  readonly priority: number;
}

export async function sendLanguageCall(
  options: LanguageCallOptions,
): Promise<LanguageResult> {
  const { plan, random, prompts, minTokens, lengths } = options;
  const { pickAccount = () => pickOne(random, ACCOUNTS) } = options;
  const baseUrl = pickEntryUrl(plan, random);
  const account = pickAccount();
  const result = await sendCompletion({
    baseUrl,
    account,
    prompt: `Quotation ${Math.floor(random() * prompts)}`,
    maxTokens: minTokens + Math.floor(random() * lengths),
  });
  return { ...result, priority: account.priority };
}

/**
 * A caller that, when it is refused, comes back at the time it was told, up to
 * this many times. Each try is reported; the last one is the result.
 */
export async function sendLanguageCallAgain(
  options: LanguageCallOptions,
  comeBacks: number,
  onTry: (result: LanguageResult) => void,
): Promise<LanguageResult> {
  const account = options.pickAccount?.() ?? pickOne(options.random, ACCOUNTS);
  const own = { ...options, pickAccount: () => account };
  for (let left = comeBacks; ; left -= 1) {
    const result = await sendLanguageCall(own);
    onTry(result);
    const { retryAfterMs } = result;
    if (retryAfterMs === undefined || left === 0) return result;
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
