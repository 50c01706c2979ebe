import { expect, test } from "@jest/globals";
import { encodeNotice } from "./encode_notice.ts";
import { createFrameDecoder } from "./frame.ts";

// Guards against an encoding per peer: a load report to 14 entries, or a notice
// of the chunks held to 45 agents, was encoded 14 or 45 times.
test("a notice to many peers is encoded once", () => {
  const notice = { topic: "members_ask" as const };
  const first = encodeNotice({ type: "notice", notice });
  expect(encodeNotice({ type: "notice", notice })).toBe(first);
  const other = encodeNotice({ type: "notice", notice: { ...notice } });
  expect(other).not.toBe(first);
  const frames = createFrameDecoder().push(Buffer.concat([first, other]));
  expect(frames._unsafeUnwrap()).toEqual([
    { type: "notice", notice },
    { type: "notice", notice },
  ]);
});
