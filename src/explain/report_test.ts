import { expect, test } from "@jest/globals";
import { runCommand } from "../cli/mod.ts";
import {
  listCallOutcomes,
  plotPeriod,
  parseRecords,
  reportPeriod,
} from "./mod.ts";

function line(second: number, msg: string, fields: object = {}) {
  const time = new Date(Date.UTC(2026, 11, 4, 10, 0, second)).toISOString();
  return JSON.stringify({
    name: "g",
    hostname: "entry-1",
    time,
    msg,
    ...fields,
  });
}

const LOST = { peer: "entry-2", reason: "socket_error" };
const LOG = [
  line(0, "call ended", { id: "a", outcome: "answered", status: 200 }),
  line(1, "call ended", { id: "b", outcome: "refused", reason: "too_busy" }),
  line(1, "call ended", { id: "c", outcome: "answered", status: 200 }),
  line(2, "lost the platform's store", { failure: "timeout" }),
  line(3, "request refused", { id: "d", reason: "stale_keys" }),
  line(4, "lost the connection to a peer", LOST),
  line(5, "connected to a peer", { peer: "entry-3" }),
  line(6, "regained the platform's store"),
  '{"name":"g","hostname":"entry-1","time":"2026-',
].join("\n");

test("counts calls by outcome and reason, and reports when a dependency was lost and regained", () => {
  const report = reportPeriod(parseRecords(LOG).records);
  expect(report.outcomes.map(({ calls, reason }) => [calls, reason])).toEqual([
    [2, ""],
    [1, "too_busy"],
    [1, "stale_keys"],
  ]);
  expect(report.losses).toMatchObject([
    { dependency: "platform's store", lostForMs: 4_000 },
    { dependency: "peer entry-2", lostForMs: undefined },
  ]);
});

// Guards against a loss that is reported as not regained because the logs of
// several processes are not in chronological order.
test("pairs a loss with its recovery in whatever order the records come", () => {
  const records = parseRecords(LOG).records.toReversed();
  expect(reportPeriod(records).losses).toMatchObject([
    { dependency: "platform's store", lostForMs: 4_000 },
    { dependency: "peer entry-2", lostForMs: undefined },
  ]);
});

// Guards against a plot that omits calls or hides failures.
test("draws a bar for each outcome in each time interval", () => {
  const svg = plotPeriod(listCallOutcomes(parseRecords(LOG).records));
  expect(svg.match(/<rect x=/g)).toHaveLength(4);
  expect(svg).toContain("calls in 1 s each");
  expect(plotPeriod([])).toContain("</svg>");
});

test("the command prints shares, causes and losses, and writes the plot", async () => {
  const out: string[] = [];
  const written = new Map<string, string>();
  const io = {
    write: (text: string) => out.push(text),
    writeError: (text: string) => out.push(text),
    readFile: () => Promise.resolve(LOG),
    writeFile: (file: string, text: string) =>
      Promise.resolve(void written.set(file, text)),
  };
  const args = ["report", "--logs", "a.log", "--plot", "a.svg"];
  expect(await runCommand(args, io as never)).toBe(0);
  const text = out.join("");
  expect(text).toContain("1 lines could not be read");
  expect(text).toContain("4 calls");
  expect(text).toContain("1 (25.00 %) refused, too_busy: every endpoint");
  expect(text).toContain("lost its platform's store at");
  expect(written.get("a.svg")).toContain("<svg");
});
