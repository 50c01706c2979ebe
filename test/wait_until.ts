/** Polls a condition until it holds or the timeout expires. */

const POLL_MS = 25;

export async function waitUntil<T>(
  description: string,
  probe: () => T | undefined | false | Promise<T | undefined | false>,
  timeoutMs = 10_000,
): Promise<T> {
  const deadlineMs = performance.now() + timeoutMs;
  for (;;) {
    const found = await probe();
    if (found !== undefined && found !== false) return found;
    if (performance.now() > deadlineMs) {
      throw new Error(
        `Timed out after ${timeoutMs} ms; expected that ${description}`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
