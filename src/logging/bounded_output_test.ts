import { expect, test } from "@jest/globals";
import { createBoundedOutput } from "./mod.ts";

function createSink() {
  const written: string[] = [];
  const pendingCallbacks: (() => void)[] = [];
  return {
    written,
    pendingCallbacks,
    write(text: string, done: () => void) {
      written.push(text);
      pendingCallbacks.push(done);
    },
  };
}

const nextIteration = () => new Promise((resolve) => setImmediate(resolve));

test("drops lines while the reader falls behind, and logs their number", async () => {
  const sink = createSink();
  const { written, pendingCallbacks } = sink;
  const output = createBoundedOutput(sink, 25);
  ["first line\n", "second line\n", "third line\n", "fourth line\n"].forEach(
    output.write,
  );
  await nextIteration();
  expect(written).toEqual(["first line\nsecond line\n"]);
  pendingCallbacks.splice(0).forEach((done) => done());
  output.write("fifth line\n");
  await nextIteration();
  expect(written[1]).toContain('"droppedLines":2');
  expect(written[1]).toMatch(/\nfifth line\n$/);
});

// Guards against one system call for each line, and against lines that are held
// back longer than an iteration of the event loop.
test("writes the lines of one iteration together", async () => {
  const sink = createSink();
  const output = createBoundedOutput(sink);
  output.write("first line\n");
  output.write("second line\n");
  await nextIteration();
  output.write("third line\n");
  output.flush();
  expect(sink.written).toEqual(["first line\nsecond line\n", "third line\n"]);
  await nextIteration();
  expect(sink.written).toHaveLength(2);
});
