import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { createSseSplitter } from "./mod.ts";

const SEED = 20_250_704;

describe("SSE splitter", () => {
  // Guards against lost, reordered or partial events at any chunk boundary.
  test(`returns complete events for any chunk boundaries (seed ${SEED})`, () => {
    const text = fc.string({ unit: "grapheme" }).map((t) => JSON.stringify(t));
    fc.assert(
      fc.property(
        fc.array(text, { minLength: 1 }),
        fc.constantFrom("\n\n", "\r\n\r\n"),
        fc.array(fc.nat(200)),
        (texts, separator, cuts) => {
          const events = texts.map((t) => `data: ${t}${separator}`);
          const all = Buffer.from(`${events.join("")}data: [DONE]${separator}`);
          const splitter = createSseSplitter();
          const parts: Buffer[] = [];
          let at = 0;
          for (const size of [...cuts, all.length]) {
            const part = splitter.push(all.subarray(at, at + size));
            if (part.length > 0) {
              expect(part.toString().endsWith(separator)).toBe(true);
            }
            parts.push(Buffer.from(part));
            at += size;
          }
          expect(Buffer.concat(parts).equals(all)).toBe(true);
          expect(splitter.isDone()).toBe(true);
        },
      ),
      { seed: SEED },
    );
  });

  // Guards against generated text that looks like the end of the stream.
  test.each(['data: {"t":"data: [DONE]"}\n\n', ": data: [DONE]\n\n"])(
    "does not treat %j as the end",
    (event) => {
      const splitter = createSseSplitter();
      splitter.push(Buffer.from(event));
      expect(splitter.isDone()).toBe(false);
    },
  );
});
