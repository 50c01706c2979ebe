/**
 * Sends a booking with an idempotency key. Half of the bookings request the key
 * from an entry, the others generate it.
 */

import { createUuidV7 } from "../src/uuid/mod.ts";
import { requestIdempotencyKey, sendBooking } from "./call.ts";
import type { CallResult } from "./call.ts";
import { ACCOUNTS } from "./fleet_plan.ts";
import { pickOne } from "./random.ts";
import type { Random } from "./random.ts";

export async function sendKeyedBooking(
  baseUrl: string,
  random: Random,
): Promise<CallResult> {
  const account = pickOne(random, ACCOUNTS);
  const usesEntryKey = random() < 0.5;
  const entryKey = usesEntryKey
    ? await requestIdempotencyKey(baseUrl, account)
    : undefined;
  const idempotencyKey = entryKey ?? createUuidV7(Date.now());
  return sendBooking({ baseUrl, account, idempotencyKey });
}
