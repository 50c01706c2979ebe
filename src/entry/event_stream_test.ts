import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { createEventSink } from "./response_sink.ts";
import type { Call } from "./call.ts";
import { createEntryMetrics } from "./entry_metrics.ts";
import {
  findDoneEventLength,
  readStreamProgress,
  rewriteContinuedEvents,
} from "./event_stream.ts";
import { createSentEvents } from "./sent_events.ts";
import { createMemoryPool } from "./memory_pool.ts";
import { createRegistry } from "../metrics/mod.ts";
import { DONE_EVENT, formatEvent } from "./testing/fake_fleet.ts";

const SEED = Date.now() % 1_000_000;
const HEAD = { kind: "response_head", status: 200, headers: {} } as const;

function createSink() {
  const sentEvents = createSentEvents(createMemoryPool(2 ** 20));
  const written: Buffer[] = [];
  const call = {
    request: { service: { kind: "language" } },
    sentEvents,
    measureIntervalMs: () => 0,
    caller: {
      isStarted: () => written.length > 0,
      start: () => undefined,
      write: (bytes: Buffer) => void written.push(Buffer.from(bytes)),
    },
  } as unknown as Call;
  const metrics = createEntryMetrics(createRegistry());
  return {
    sentEvents,
    written,
    sink: createEventSink(call, HEAD, { metrics }),
  };
}

describe("event stream", () => {
  // Guards against tokens that are lost, repeated or split, for any chunk
  // boundaries and any point at which the connection breaks.
  test("forwards and counts exactly the complete events", () => {
    console.log(`seed ${SEED}`);
    const texts = fc.array(fc.string({ minLength: 1, unit: "grapheme" }), {
      maxLength: 8,
    });
    const cuts = fc.array(fc.integer({ min: 1, max: 40 }), { maxLength: 30 });
    const newline = fc.constantFrom("\n", "\r\n");
    fc.assert(
      fc.property(texts, cuts, newline, (tokens, sizes, separator) => {
        const events = tokens.map((token) =>
          formatEvent(token).replaceAll("\n", separator),
        );
        const done = DONE_EVENT.replaceAll("\n", separator);
        const bytes = Buffer.from(events.join("") + done);
        const { sentEvents, written, sink } = createSink();
        let offset = 0;
        sizes.forEach((size) => {
          sink.push(bytes.subarray(offset, offset + size));
          offset = Math.min(bytes.length, offset + size);
        });
        let completeBytes = 0;
        const completeEvents = events.filter((event) => {
          completeBytes += Buffer.byteLength(event);
          return completeBytes <= offset;
        });
        expect(Buffer.concat(written).toString()).toBe(completeEvents.join(""));
        expect(readStreamProgress(sentEvents.read()!)).toMatchObject({
          text: tokens.slice(0, completeEvents.length).join(""),
          tokens: completeEvents.length,
        });
      }),
      { seed: SEED },
    );
  });

  // Guards against a [DONE] event that is forwarded as a token: the space after
  // the colon is optional.
  test("recognises the last event with and without the space", () => {
    ["data: [DONE]\n\n", "data:[DONE]\n\n", "data:[DONE]\r\n\r\n"].forEach(
      (done) => {
        const bytes = Buffer.from(formatEvent("a") + done);
        expect(findDoneEventLength(bytes)).toBe(done.length);
      },
    );
    expect(findDoneEventLength(Buffer.from("mydata:[DONE]\n\n"))).toBe(0);
  });

  // Guards against a second completion id, or a second opening event, in one
  // response.
  test("gives continued events the id of the first completion", () => {
    const progress = readStreamProgress(Buffer.from(formatEvent("a", "first")));
    const opening = `data: ${JSON.stringify({
      id: "second",
      choices: [{ index: 0, delta: { role: "assistant" } }],
    })}\n\n`;
    const usage = `data: ${JSON.stringify({
      id: "second",
      choices: [],
      usage: { completion_tokens: 2 },
    })}\n\n`;
    const events = Buffer.from(
      opening + formatEvent("b", "second") + usage + ": comment\n\n",
    );
    const rewritten = rewriteContinuedEvents(events, progress).toString();
    expect(rewritten).not.toContain("second");
    expect(rewritten.split("\n\n").slice(0, -1)).toEqual([
      formatEvent("b", "first").trimEnd(),
      `data: {"id":"first","choices":[],"usage":{"completion_tokens":2},"created":1}`,
      ": comment",
    ]);
  });

  // Guards against a continuation that mixes several choices, or that calls a
  // tool with incomplete arguments.
  test.each([
    { index: 1, delta: { content: "a" } },
    { index: 0, delta: { tool_calls: [{ index: 0 }] } },
  ])("does not resume %j", (choice) => {
    const event = `data: ${JSON.stringify({ choices: [choice] })}\n\n`;
    expect(readStreamProgress(Buffer.from(event)).isResumable).toBe(false);
  });
});
