import { readFileSync } from "node:fs";
import { expect, test } from "@jest/globals";
import { runCommand } from "../cli/mod.ts";
import { explainRequest, listKnownReasons, parseRecords } from "./mod.ts";

function line(time: string, message: string, fields: object = {}) {
  return JSON.stringify({
    name: "zinniaspur-gateway",
    hostname: "entry-1",
    time: `2026-12-04T10:00:${time}Z`,
    msg: message,
    ...fields,
  });
}

const LOG = [
  line("01.200", "call ended", {
    id: "a1",
    outcome: "unknown",
    reason: "lost",
  }),
  `  1.1 entry-1 ${line("01.100", "attempt ended", { id: "a1", outcome: "lost" })}`,
  line("00.500", "call ended", {
    id: "b2",
    outcome: "refused",
    reason: "too_busy",
  }),
  "not a log line",
  line("02.000", "the caller has left", { id: "c3" }),
].join("\n");

test("lists a request's steps of all processes in chronological order", () => {
  const { records, unreadableLines } = parseRecords(LOG);
  expect(unreadableLines).toBe(1);
  const { steps, cause } = explainRequest(records, "a1");
  expect(steps.map(({ message }) => message)).toEqual([
    "attempt ended",
    "call ended",
  ]);
  expect(cause).toContain("connection broke");
});

// Guards against calls that leave no trace because their entry was killed.
test("explains a call whose end is missing from the logs", () => {
  const { records } = parseRecords(
    line("03.000", "attempt sent", { id: "d4", endpoint: "e1" }),
  );
  expect(explainRequest(records, "d4").cause).toContain("entry ended");
});

test("the command prints the steps and the cause, and reports an unknown id", async () => {
  const out: string[] = [];
  const io = {
    write: (text: string) => out.push(text),
    writeError: (text: string) => out.push(text),
    readFile: () => Promise.resolve(LOG),
    fetchJson: () => Promise.reject(new Error("unused")),
    nowMs: () => 0,
  };
  const run = (id: string) =>
    runCommand(["explain", id, "--logs", "a.log"], io as never);
  expect(await run("b2")).toBe(0);
  expect(out.join("")).toContain("cause: every endpoint would have answered");
  expect(await run("zz")).toBe(1);
  expect(out.join("")).toContain('no log line has the id "zz"');
});

// Guards against reasons in logs that are not documented for operators.
test("each reason of a refusal is explained here and on the operators' page", () => {
  const page = readFileSync("docs/OPERATIONS.md", "utf8");
  const sources = [
    "gateway/caller_server",
    "gateway/dispatch_call",
    "gateway/end_call",
    "scheduling/choose_endpoint",
  ].map((name) => readFileSync(`src/${name}.ts`, "utf8"));
  const used = sources.flatMap((text) =>
    [...text.matchAll(/reason: "([a-z_]+)"/g)].map((match) => match[1]!),
  );
  const known = listKnownReasons();
  expect(used.filter((reason) => !known.includes(reason))).toEqual([]);
  expect(known.filter((reason) => !page.includes(`\`${reason}\``))).toEqual([]);
});
