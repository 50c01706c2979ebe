import { expect, test } from "@jest/globals";
import { createQueueMix } from "./mod.ts";

test("all of a queue is ahead while nothing is known about it", () => {
  expect(createQueueMix(() => 0).readShareAhead(0)).toBe(1);
});

// Guards against a mix by the number of sends, which takes urgent requests,
// that hardly wait, for as large a part of the queue as of the traffic.
test("requests count by the time for which they wait", () => {
  let now = 0;
  const mix = createQueueMix(() => now);
  for (let round = 0; round < 20; round += 1) {
    const ends = [0, 0, 4, 4].map((priority) => mix.track(priority));
    now += 50;
    ends.slice(0, 2).forEach((end) => end());
    now += 950;
    ends.slice(2).forEach((end) => end());
  }
  expect(mix.readShareAhead(0)).toBeLessThan(0.35);
  expect(mix.readShareAhead(4)).toBe(1);
});

test("former requests lose their weight", () => {
  let now = 0;
  const mix = createQueueMix(() => now);
  const end = mix.track(0);
  now += 2_000;
  end();
  end();
  now += 5_000;
  Array.from({ length: 9 }, () => mix.track(9));
  now += 2_000;
  expect(mix.readShareAhead(0)).toBeLessThan(0.1);
});
