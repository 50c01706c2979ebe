/**
 * A booking as callers make it: half of them take the key from an entry, the
 * others make their own.
 */

import { createUuidV7 } from "../src/uuid/mod.ts";
import { requestKey, sendBooking } from "./call.ts";
import type { CallResult } from "./call.ts";
import { ACCOUNTS } from "./fleet_plan.ts";
import { pickOne } from "./random.ts";
import type { Random } from "./random.ts";

export async function sendKeyedBooking(
  baseUrl: string,
  random: Random,
): Promise<CallResult> {
  const account = pickOne(random, ACCOUNTS);
  const takesKey = random() < 0.5;
  const taken = takesKey ? await requestKey(baseUrl, account) : undefined;
  const idempotencyKey = taken ?? createUuidV7(Date.now());
  return sendBooking({ baseUrl, account, idempotencyKey });
}
