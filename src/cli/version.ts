import { existsSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** Version in the package.json closest above this file. */
export function readVersion(): string {
  let folder = dirname(fileURLToPath(import.meta.url));
  while (!existsSync(join(folder, "package.json"))) {
    const parent = dirname(folder);
    if (parent === folder) return "unknown";
    folder = parent;
  }
  const text = readFileSync(join(folder, "package.json"), "utf8");
  return (JSON.parse(text) as { version: string }).version;
}
