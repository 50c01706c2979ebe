/**
 * Checks a value against a zod schema and describes each problem and its fix.
 */

import * as z from "zod";
import { suggestWord } from "./edit_distance.ts";
import { formatValue } from "./issue.ts";
import type { Issue, Path } from "./issue.ts";
import { MAX_FINDINGS } from "./yaml_source.ts";

export interface SchemaResult<Output> {
  /** Absent when there are issues. */
  readonly value?: Output;
  readonly issues: readonly Issue[];
}

export function checkSchema<Schema extends z.ZodType>(
  schema: Schema,
  input: unknown,
): SchemaResult<z.output<Schema>> {
  const parsed = schema.safeParse(input);
  if (parsed.success) return { value: parsed.data, issues: [] };
  return {
    issues: parsed.error.issues.flatMap((issue) =>
      toIssues(issue, { schema, input }),
    ),
  };
}

interface IssueContext {
  readonly schema: z.ZodType;
  readonly input: unknown;
}

function toIssues(
  issue: z.core.$ZodIssue,
  { schema, input }: IssueContext,
): readonly Issue[] {
  const path = issue.path.filter((part) => typeof part !== "symbol");
  const value = readPath(input, path);
  if (issue.code === "unrecognized_keys") {
    const known = listKnownKeys(schema, { input, path });
    return issue.keys
      .slice(0, MAX_FINDINGS + 1)
      .map((key) => describeUnknownKey(key, { path, known }));
  }
  return [{ path, at: "value", ...describeIssue(issue, value) }];
}

function describeUnknownKey(
  key: string,
  { path, known }: { path: Path; known: readonly string[] },
): Issue {
  const suggestion = suggestWord(key, known);
  return {
    path: [...path, key],
    at: "key",
    message: `Unknown key ${formatValue(key)}`,
    fix:
      suggestion === undefined
        ? `Remove it; the keys here are ${known.join(", ")}`
        : `Did you mean "${suggestion}"?`,
  };
}

function describeIssue(
  issue: z.core.$ZodIssue,
  value: unknown,
): { message: string; fix: string } {
  const name = String(issue.path.at(-1) ?? "document");
  if (value === undefined) {
    return {
      message: `Key "${name}" is missing`,
      fix: `Add "${name}"${describeExpected(issue)}`,
    };
  }
  switch (issue.code) {
    case "custom":
      return {
        message: `${issue.message}, found ${formatValue(value)}`,
        fix: String(issue.params?.["fix"] ?? "Correct the value"),
      };
    case "invalid_type":
      return {
        message: `Expected ${formatType(issue.expected)}, found ${formatValue(value)}`,
        fix:
          issue.expected === "string" && !isNested(value)
            ? "Put the value in quotes"
            : `Write ${formatType(issue.expected)}`,
      };
    case "too_small":
      return {
        message: `${formatValue(value)} is too small or has too few items`,
        fix: `Use ${issue.inclusive === false ? "more than" : "at least"} ${issue.minimum}`,
      };
    case "too_big":
      return {
        message: `${formatValue(value)} is too large or has too many items`,
        fix: `Use at most ${issue.maximum}`,
      };
    case "invalid_value":
      return describeChoice(value, issue.values.map(String));
    case "invalid_union":
      return describeChoice(value, listDiscriminators(issue));
    default:
      return { message: issue.message, fix: "Correct the value" };
  }
}

function describeChoice(value: unknown, choices: readonly string[]) {
  const suggestion =
    typeof value === "string" ? suggestWord(value, choices) : undefined;
  return {
    message: `${formatValue(value)} is not one of ${choices.join(", ")}`,
    fix:
      suggestion === undefined
        ? `Use one of ${choices.join(", ")}`
        : `Did you mean "${suggestion}"?`,
  };
}

function describeExpected(issue: z.core.$ZodIssue): string {
  if (issue.code === "invalid_type") return `, ${formatType(issue.expected)}`;
  if (issue.code === "invalid_value") {
    return `, one of ${issue.values.map(String).join(", ")}`;
  }
  if (issue.code === "invalid_union") {
    return `, one of ${listDiscriminators(issue).join(", ")}`;
  }
  return "";
}

function listDiscriminators(
  issue: z.core.$ZodIssueInvalidUnion,
): readonly string[] {
  const { options } = issue as { options?: readonly unknown[] };
  return (options ?? []).map(String);
}

function isNested(value: unknown): boolean {
  return value === null || typeof value === "object";
}

function formatType(expected: string): string {
  const names: Record<string, string> = {
    array: "a list",
    boolean: "true or false",
    int: "an integer",
    number: "a number",
    object: "a mapping",
    string: "a string",
  };
  return names[expected] ?? expected;
}

function readPath(input: unknown, path: Path): unknown {
  return path.reduce<unknown>((value, part) => {
    if (value === null || typeof value !== "object") return undefined;
    return Object.hasOwn(value, part)
      ? (value as Record<string | number, unknown>)[part]
      : undefined;
  }, input);
}

/** Keys that the schema allows in the mapping at `path`. */
function listKnownKeys(
  schema: z.ZodType,
  { input, path }: { input: unknown; path: Path },
): readonly string[] {
  const targetSchema = path.reduce<z.ZodType | undefined>(
    (current, part, index) => {
      const inner = resolveSchema(
        current,
        readPath(input, path.slice(0, index)),
      );
      if (inner instanceof z.ZodArray) return inner.element as z.ZodType;
      if (!(inner instanceof z.ZodObject)) return undefined;
      return (inner.shape as Record<string, z.ZodType>)[String(part)];
    },
    schema,
  );
  const inner = resolveSchema(targetSchema, readPath(input, path));
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
}

/**
 * Unwraps optional schemas and selects the union option that matches `value`.
 */
function resolveSchema(
  schema: z.ZodType | undefined,
  value: unknown,
): z.ZodType | undefined {
  if (schema instanceof z.ZodDefault || schema instanceof z.ZodOptional) {
    return resolveSchema(schema.unwrap() as z.ZodType, value);
  }
  if (schema instanceof z.ZodDiscriminatedUnion) {
    const options = schema.options as readonly z.ZodObject[];
    return options.find((option) => {
      const kind = option.shape["kind"] as z.ZodType | undefined;
      return kind?.safeParse(readPath(value, ["kind"])).success;
    });
  }
  return schema;
}
