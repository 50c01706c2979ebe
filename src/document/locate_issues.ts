import type { Finding } from "./finding.ts";
import type { Issue } from "./issue.ts";
import { readYaml } from "./yaml_source.ts";

/** Findings with the place of each issue in `text`, which must be valid. */
export function locateIssues(
  text: string,
  {
    file,
    issues,
  }: { readonly file: string; readonly issues: readonly Issue[] },
): readonly Finding[] {
  return readYaml(text, { file }).match(
    ({ toFindings }) => toFindings(issues),
    (findings) => findings,
  );
}
