import { describe, expect, test } from "@jest/globals";
import { decode, Encoder } from "cbor-x";
import fc from "fast-check";
import { createFrameDecoder, encodeFrame, MAX_FRAME_BYTES } from "./mod.ts";
import type { Frame } from "./mod.ts";

const seed = Number(process.hrtime.bigint() % 2_147_483_647n);

/** The codec renames `__proto__`, which a separate test covers. */
const key = fc.string().filter((text) => text !== "__proto__");
const streamId = fc.integer({ min: 0, max: 2 ** 31 });
const frame: fc.Arbitrary<Frame> = fc.oneof(
  fc.record({
    type: fc.constant("data" as const),
    streamId,
    bytes: fc.uint8Array({ maxLength: 300 }),
  }),
  fc.record({
    type: fc.constant("message" as const),
    streamId,
    body: fc.dictionary(key, fc.string(), { noNullPrototype: true }),
  }),
  fc.record({ type: fc.constant("ping" as const), nonce: fc.nat() }),
);

function frameBytes(body: Uint8Array): Buffer {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

describe(`frame decoder (seed ${seed})`, () => {
  // Guards against frames that are lost or merged where TCP splits the bytes.
  test("decodes the same frames however the bytes are split", () => {
    fc.assert(
      fc.property(
        fc.array(frame, { maxLength: 6 }),
        fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1 }),
        (frames, sizes) => {
          const bytes = Buffer.concat(frames.map(encodeFrame));
          const decoder = createFrameDecoder();
          const decoded: Frame[] = [];
          for (let at = 0, i = 0; at < bytes.length; i++) {
            const end = at + sizes[i % sizes.length]!;
            const pushed = decoder.push(bytes.subarray(at, end));
            decoded.push(...pushed._unsafeUnwrap());
            at = end;
          }
          expect(decoded.map(encodeFrame)).toEqual(frames.map(encodeFrame));
        },
      ),
      { seed, numRuns: 500 },
    );
  });

  // Guards against an optimised encoding of data frames that violates the
  // protocol.
  test("encodes and decodes data frames as the general codec does", () => {
    const codec = new Encoder({ useRecords: false, tagUint8Array: false });
    const numbers = fc.oneof(streamId, fc.maxSafeNat());
    fc.assert(
      fc.property(
        numbers,
        fc.uint8Array({ maxLength: 70_000 }),
        (number, content) => {
          const data = {
            type: "data" as const,
            streamId: number,
            bytes: Buffer.from(content),
          };
          const encoded = encodeFrame(data);
          expect(encoded.readUInt32BE(0)).toBe(encoded.length - 4);
          expect(decode(encoded.subarray(4))).toEqual(data);
          [encoded, frameBytes(codec.encode(data))].forEach((bytes) => {
            const decoded = createFrameDecoder().push(bytes);
            expect(decoded._unsafeUnwrap()).toEqual([data]);
          });
        },
      ),
      { seed, numRuns: 100 },
    );
  });

  // Guards against a data size that does not match the size of the frame.
  test.each([-1, 1])("refuses a data size that is off by %i", (difference) => {
    const bytes = Buffer.from("token");
    const encoded = encodeFrame({ type: "data", streamId: 1, bytes });
    const sizeAt = encoded.length - bytes.length - 4;
    encoded.writeUInt32BE(bytes.length + difference, sizeAt);
    const decoded = createFrameDecoder().push(encoded);
    expect(decoded._unsafeUnwrapErr()).toBe("malformed_frame");
  });

  // Guards against a crash on bytes that no correct peer sends.
  test("returns frames or a defined error for any bytes", () => {
    const anyBytes = fc.oneof(
      fc.uint8Array({ maxLength: 200 }),
      fc.uint8Array({ maxLength: 200 }).map(frameBytes),
    );
    fc.assert(
      fc.property(anyBytes, (bytes) => {
        createFrameDecoder()
          .push(Buffer.from(bytes))
          .match(
            (frames) => expect(Array.isArray(frames)).toBe(true),
            (error) =>
              expect(["frame_too_large", "malformed_frame"]).toContain(error),
          );
      }),
      { seed, numRuns: 5_000 },
    );
  });

  // Guards against a sender that sets the prototype of a decoded value.
  test("keeps a key named __proto__ from becoming a prototype", () => {
    const body = JSON.parse('{"__proto__": {"role": "x"}, "k": 1}') as object;
    const bytes = encodeFrame({ type: "message", streamId: 1, body });
    const [decoded] = createFrameDecoder().push(bytes)._unsafeUnwrap();
    if (decoded?.type !== "message") throw new Error("No message decoded");
    expect(Object.getPrototypeOf(decoded.body)).toBe(Object.prototype);
    expect(decoded.body).not.toHaveProperty("role");
    expect(decoded.body).toHaveProperty("k", 1);
  });

  // Guards against short frames that claim sizes of gigabytes or nest deeply.
  test.each([
    { name: "array", body: Buffer.from("9a06b00000", "hex") },
    { name: "array of 2^32 - 1", body: Buffer.from("9affffffff", "hex") },
    { name: "map", body: Buffer.from("baffffffff", "hex") },
    { name: "byte string", body: Buffer.from("5affffffff", "hex") },
    { name: "text", body: Buffer.from("7affffffff", "hex") },
    { name: "nesting", body: Buffer.alloc(MAX_FRAME_BYTES, 0x81) },
  ])("refuses an oversized $name without allocating it", ({ body }) => {
    const before = process.memoryUsage();
    const decoded = createFrameDecoder().push(frameBytes(body));
    const after = process.memoryUsage();
    expect(decoded._unsafeUnwrapErr()).toBe("malformed_frame");
    expect(after.heapTotal - before.heapTotal).toBeLessThan(64 * 1024 * 1024);
    expect(after.external - before.external).toBeLessThan(64 * 1024 * 1024);
  });

  // Guards against a sender that makes the receiver buffer without a limit.
  test("refuses a frame above the limit before its bytes arrive", () => {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(MAX_FRAME_BYTES + 1);
    const decoded = createFrameDecoder().push(length);
    expect(decoded._unsafeUnwrapErr()).toBe("frame_too_large");
  });
});
