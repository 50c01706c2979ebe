import { expect, test } from "@jest/globals";
import { createBoundedOutput } from "./mod.ts";

test("a reader that does not drain costs lines, and their number is told", () => {
  const written: string[] = [];
  const waiting: (() => void)[] = [];
  const output = createBoundedOutput(
    {
      write(text, done) {
        written.push(text);
        waiting.push(done);
      },
    },
    25,
  );
  ["first line\n", "second line\n", "third line\n", "fourth line\n"].forEach(
    output.write,
  );
  expect(written).toEqual(["first line\n", "second line\n"]);
  waiting.splice(0).forEach((done) => done());
  output.write("fifth line\n");
  expect(written[2]).toContain('"droppedLines":2');
  expect(written[3]).toBe("fifth line\n");
});
