import { afterEach, expect, test } from "@jest/globals";
import { waitUntil } from "../../test/wait_until.ts";
import { createFakeEndpoint } from "./testing/fake_endpoint.ts";
import { startTestUpdater } from "./testing/updater.ts";

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

/** Checks of the staged chunks, each of which a pause may follow. */
const CHECKS = [1, 2, 3, 4];
const PAUSE_MS = 4_000;

// Guards against a load of chunks that turned corrupt during a pause of this
// process between their check and the order.
test.each(CHECKS)(
  "chunks that turn corrupt in a pause after check %d are not loaded",
  async (pausedCheck) => {
    let checks = 0;
    let skippedMs = 0;
    const fake = createFakeEndpoint({
      version: 1,
      onChecked() {
        checks += 1;
        if (checks !== pausedCheck) return;
        skippedMs += PAUSE_MS;
        fake.corruptChunk(0);
      },
    });
    const updater = startTestUpdater(fake, {
      versions: () => [2],
      skippedMs: () => skippedMs,
    });
    closers.push(updater.close);
    await waitUntil("version 2 is served", () => fake.version() === 2);
    expect(fake.loads).toEqual([{ version: 2, isSound: true }]);
  },
);
