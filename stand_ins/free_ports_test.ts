import { spawn } from "node:child_process";
import { once } from "node:events";
import { expect, test } from "@jest/globals";
import { findFreePorts } from "./free_ports.ts";

// Guards against two test runs on one machine that start their processes on
// the same ports.
test("a reserved port is not given out again, also not to another process", async () => {
  const [port] = await findFreePorts(1);
  const child = spawn(process.execPath, [
    "--input-type=module",
    "--eval",
    `import { createServer } from "node:net";
     createServer()
       .once("error", ({ code }) => console.log(code))
       .listen(${port}, "127.255.255.254", () => process.exit(1));`,
  ]);
  const [output] = (await once(child.stdout, "data")) as [Buffer];
  expect(output.toString().trim()).toBe("EADDRINUSE");
  const later = await findFreePorts(20);
  expect(later).not.toContain(port);
  expect(new Set(later).size).toBe(20);
});
