import { describe, expect, test } from "@jest/globals";
import { createRegistry } from "./mod.ts";

describe("registry", () => {
  // Guards against two series for one label set because of the label order.
  test("counts a series once regardless of the order of its labels", () => {
    const registry = createRegistry();
    const refusals = registry.counter("refusals_total", "Refused requests");
    refusals.increment({ reason: "overloaded", service: "assistant" });
    refusals.increment({ service: "assistant", reason: "overloaded" });
    expect(refusals.read({ reason: "overloaded", service: "assistant" })).toBe(
      2,
    );
  });

  // Guards against output that a Prometheus scraper rejects.
  test("renders counters, summaries and gauges as Prometheus text", () => {
    const registry = createRegistry();
    registry.counter("a_total", "A").increment({ reason: 'x"y' });
    registry.latency("b_ms", "B").record(2);
    registry.gauge("c", "C", () => 3);
    const text = registry.render();
    expect(text).toContain('zinniaspur_a_total{reason="x\\"y"} 1');
    expect(text).toContain("# TYPE zinniaspur_b_ms summary");
    expect(text).toContain("zinniaspur_b_ms_count 1");
    expect(text).toContain("zinniaspur_c 3");
  });
});
