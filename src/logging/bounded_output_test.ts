import { expect, test } from "@jest/globals";
import { createBoundedOutput } from "./mod.ts";

test("drops lines while the reader falls behind, and logs their number", () => {
  const written: string[] = [];
  const pendingCallbacks: (() => void)[] = [];
  const output = createBoundedOutput(
    {
      write(text, done) {
        written.push(text);
        pendingCallbacks.push(done);
      },
    },
    25,
  );
  ["first line\n", "second line\n", "third line\n", "fourth line\n"].forEach(
    output.write,
  );
  expect(written).toEqual(["first line\n", "second line\n"]);
  pendingCallbacks.splice(0).forEach((done) => done());
  output.write("fifth line\n");
  expect(written[2]).toContain('"droppedLines":2');
  expect(written[3]).toBe("fifth line\n");
});
