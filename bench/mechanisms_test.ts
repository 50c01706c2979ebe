import { readFileSync } from "node:fs";
import { describe, expect, test } from "@jest/globals";
import { MECHANISMS } from "./mechanisms.ts";

describe("list of mechanisms", () => {
  // After a file is split, an item may quote a source line or a test name that
  // is gone; otherwise this is noticed only when the whole list is run.
  test.each(MECHANISMS)(
    "$name: quotes existing source and test",
    (mechanism) => {
      const source = readFileSync(mechanism.file, "utf8");
      expect(source).toContain(mechanism.find);
      expect(readFileSync(mechanism.testFile, "utf8")).toContain(
        mechanism.test,
      );
    },
  );
});
