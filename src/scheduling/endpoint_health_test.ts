import { expect, test } from "@jest/globals";
import { createEndpointHealth } from "./endpoint_health.ts";

const BACKOFF_MS = 400;

function createUnreachable() {
  const time = { ms: 1_000 };
  const health = createEndpointHealth(() => time.ms);
  health.onUnreachable("e");
  time.ms += BACKOFF_MS;
  return { health, time };
}

// Guards against a burst of requests that all wait for the time-out of their
// connection at a host whose link is cut.
test("after a backoff a single request tries the endpoint", () => {
  const { health, time } = createUnreachable();
  expect(health.isInBackoff("e")).toBe(false);
  health.onSend("e");
  expect(health.isInBackoff("e")).toBe(true);
  time.ms += 500;
  health.onUnreachable("e");
  time.ms += 2 * BACKOFF_MS - 1;
  expect(health.isInBackoff("e")).toBe(true);
});

test("an endpoint that has answered again is not held back by its trial", () => {
  const { health, time } = createUnreachable();
  health.onSend("e");
  time.ms += 60;
  health.onResponse("e");
  expect(health.isInBackoff("e")).toBe(false);
});

test("a trial without an outcome does not block the endpoint for good", () => {
  const { health, time } = createUnreachable();
  health.onSend("e");
  time.ms += 1_500;
  expect(health.isInBackoff("e")).toBe(false);
});

test("a response from before the failure does not end the trial", () => {
  const time = { ms: 1_000 };
  const health = createEndpointHealth(() => time.ms);
  health.onUnreachable("e");
  health.onResponse("e");
  time.ms += BACKOFF_MS;
  health.onSend("e");
  expect(health.isInBackoff("e")).toBe(true);
});
