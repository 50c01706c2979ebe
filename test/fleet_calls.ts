/** Sends requests to a test fleet and counts their runs at its endpoints. */

import { request } from "undici";
import { sendBooking } from "../bench/call.ts";
import type { CallResult } from "../bench/call.ts";
import { ACCOUNTS } from "../bench/fleet_plan.ts";
import type { Availability } from "../stand_ins/platform.ts";
import { createUuidV7 } from "../src/uuid/mod.ts";
import { chooseRunner } from "../src/idempotency/mod.ts";
import { createPrompt, readJson, sendStream } from "./fleet_fixture.ts";
import type { TestFleet } from "./fleet_fixture.ts";
import { waitUntil } from "./wait_until.ts";

export function book(
  fleet: TestFleet,
  entryName: string,
  idempotencyKey: string,
): Promise<CallResult> {
  return sendBooking({
    baseUrl: fleet.urlOf(entryName),
    account: ACCOUNTS[0]!,
    idempotencyKey,
  });
}

/** Counts the runs of an idempotency key at these plain services. */
export async function countRuns(
  urls: readonly string[],
  key: string,
): Promise<number> {
  const all = await Promise.all(
    urls.map((url) => readJson<Record<string, number>>(`${url}/admin/runs`)),
  );
  return all.reduce((sum, runs) => sum + (runs[key] ?? 0), 0);
}

/** Creates a key whose runner in the configured set is this ledger. */
export function createKeyForRunner(
  ledger: string,
  runners: readonly string[],
): string {
  const keys = Array.from({ length: 200 }, () => createUuidV7(Date.now()));
  const sets = [{ fromMs: 0, runners }];
  return keys.find((key) => chooseRunner(key, sets) === ledger)!;
}

export async function isReady(
  fleet: TestFleet,
  hostName: string,
): Promise<boolean> {
  const { statusCode, body } = await request(`${fleet.urlOf(hostName)}/readyz`);
  await body.dump();
  return statusCode === 200;
}

export interface StreamsOptions {
  readonly entries: readonly string[];
  readonly count: number;
  readonly maxTokens: number;
}

/** Starts streams at each entry in turn; returns once all have a first token. */
export async function startStreams(
  fleet: TestFleet,
  { entries, count, maxTokens }: StreamsOptions,
): Promise<readonly Promise<CallResult>[]> {
  let startedCount = 0;
  const streams = Array.from({ length: count }, (_, index) =>
    sendStream(fleet, entries[index % entries.length]!, {
      prompt: createPrompt("Long"),
      maxTokens,
      onFirstToken: () => (startedCount += 1),
    }),
  );
  await waitUntil("all streams have started", () => startedCount === count);
  return streams;
}

/** The outcome and, unless the answer is complete, the reason. */
export function describeResult({ outcome, detail }: CallResult): string {
  return detail === "" ? outcome : `${outcome} ${detail}`;
}

export function isCompleteOrUnknown({ outcome }: CallResult): boolean {
  return outcome === "answered_whole" || outcome === "unknown";
}

export async function killProcess(
  fleet: TestFleet,
  name: string,
): Promise<void> {
  const handle = fleet.processes().get(name)!;
  handle.signal("SIGKILL");
  await handle.exited;
}

export function startProcess(fleet: TestFleet, name: string): void {
  if (name.startsWith("entry-")) fleet.startEntry(name);
  else fleet.startAgent(name);
}

/** Leaves the host list available, as another service provides it. */
export function setConfigAvailability(
  fleet: TestFleet,
  availability: Availability,
): Promise<void> {
  return fleet.setPlatform(availability, ["config"]);
}
