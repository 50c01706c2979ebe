import { readFileSync } from "node:fs";
import { describe, expect, test } from "@jest/globals";
import { MECHANISMS } from "./mechanisms.ts";

describe("list of mechanisms", () => {
  // Guards against an entry that no longer fits after its file was split: it
  // went unnoticed until the whole list was run.
  test.each(MECHANISMS)("$name is still in its file", (mechanism) => {
    const source = readFileSync(mechanism.file, "utf8");
    expect(source).toContain(mechanism.find);
    expect(readFileSync(mechanism.testFile, "utf8")).toContain(mechanism.test);
  });
});
