import { describe, expect, test } from "@jest/globals";
import { err, ok } from "neverthrow";
import type { EndpointRequest } from "../engine/mod.ts";
import { createKeyFloor, createKeyTable } from "../idempotency/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import type { Stream, Trailer } from "../wire/mod.ts";
import { createAgentCounters } from "./agent_counters.ts";
import { handOff } from "./hand_off.ts";
import { createPauseCheck } from "./pause_check.ts";
import type { RequestContext } from "./request_context.ts";
import { createHead, createTestClock } from "./testing/mod.ts";

const KEY = "01940000-0000-7000-8000-000000000001";

interface HandOffCase {
  /** Duration of the pause while the connection is established. */
  readonly pauseMs?: number;
  /** The timer of the pause check fires only after the write. */
  readonly isTickLate?: boolean;
  readonly isStopped?: boolean;
  readonly hasCallerLeft?: boolean;
}

async function runCase(options: HandOffCase) {
  const clock = createTestClock();
  const floor = createKeyFloor(0);
  const pauseCheck = createPauseCheck({
    clock,
    onPause: () => floor.raiseToNow(clock.wallMs()),
  });
  const keyTable = createKeyTable({ floor, maxKeys: () => 10 });
  keyTable.claim(KEY, 1e12, "f");
  let written = 0;
  let trailer: Trailer | undefined;
  let notifyLost: (reason: string) => void = () => undefined;
  const context = {
    node: {
      identity: { incarnation: "i", host: "h1" },
      view: {
        isRecoveringFromPause: () => false,
        hosts: () => ({ hosts: [] }),
      },
    },
    control: {
      digest: () => undefined,
      isStopped: () => options.isStopped === true,
      onConnectionLost: () => undefined,
    },
    client: {
      send({ isWriteAllowed }: EndpointRequest) {
        clock.advance(options.pauseMs ?? 0);
        if (options.isTickLate !== true) pauseCheck.tick();
        if (options.hasCallerLeft === true) notifyLost("caller_left");
        if (!isWriteAllowed!()) {
          const reason = "hand_off_expired";
          return Promise.resolve(err({ mayHaveRun: false, reason }));
        }
        written += 1;
        return Promise.resolve(
          ok({
            status: 200,
            headers: {},
            isDelimited: true,
            body: emptyBody(),
          }),
        );
      },
    },
    crashDetector: { trackRequest: () => ({ finish: () => undefined }) },
    keyTable,
    keyFloor: floor,
    pauseCheck,
    clock,
    counters: createAgentCounters(createRegistry()),
  } as unknown as RequestContext;
  const stream = {
    head: createHead({ idempotencyKey: KEY, fingerprint: "f" }),
    send: () => ok(),
    write: () => Promise.resolve(ok()),
    end: (value: Trailer) => void (trailer ??= value),
    onLost: (handler: (reason: string) => void) => void (notifyLost = handler),
  } as unknown as Stream;
  await handOff(stream, {
    context,
    slot: { release: () => undefined },
    permit: { release: () => undefined },
    body: Buffer.from("x"),
    key: KEY,
    remainingMs: 10_000,
  });
  pauseCheck.close();
  return { written, trailer, held: keyTable.size() };
}

async function* emptyBody(): AsyncGenerator<Uint8Array> {
  yield Buffer.from("ok");
}

describe("hand-off of a non-repeatable request", () => {
  // Guards against running a request that the entry has abandoned, and against
  // `not_run` for one that ran.
  const cases: readonly [HandOffCase, outcome: string][] = [
    [{ pauseMs: 900 }, "answered"],
    // A replacement of this agent may have run it during the pause.
    [{ pauseMs: 1_100 }, "unknown"],
    [{ pauseMs: 1_100, isTickLate: true }, "unknown"],
    [{ isStopped: true }, "unknown"],
    [{ hasCallerLeft: true }, "unknown"],
  ];
  test.each(cases)("%j ends as %s", async (options, outcome) => {
    const { written, trailer, held } = await runCase(options);
    const hasRun = outcome === "answered";
    expect(trailer?.outcome).toBe(outcome);
    expect(written).toBe(hasRun ? 1 : 0);
    // The key of a request that was not run is released.
    expect(held).toBe(hasRun ? 1 : 0);
  });
});
