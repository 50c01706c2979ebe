/** Parses the fields of a language request's JSON body that routing needs. */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import * as z from "zod";

const PROMPT_PREFIX_BYTES = 256;

const contentSchema = z.union([
  z.string(),
  z.array(z.looseObject({ text: z.string().optional() })),
  z.null(),
]);

const bodySchema = z.looseObject({
  model: z.string(),
  stream: z.boolean().nullish(),
  n: z.number().int().nullish(),
  prompt: z.unknown().optional(),
  messages: z
    .array(
      z.looseObject({ role: z.string(), content: contentSchema.optional() }),
    )
    .optional(),
});

type Body = z.infer<typeof bodySchema>;

export interface LanguageRequest {
  readonly model: string;
  readonly isStream: boolean;
  /** The first 256 bytes of the prompt. */
  readonly promptPrefix: string;
}

export function parseLanguageRequest(
  body: Buffer,
  path: string,
): Result<LanguageRequest, string> {
  const parsed = parseJson(body).andThen((json) => {
    const result = bodySchema.safeParse(json);
    return result.success
      ? ok(result.data)
      : err(describeFirstIssue(result.error));
  });
  return parsed.andThen((value) => {
    const isChat = path === "/v1/chat/completions";
    if (isChat && value.messages === undefined) {
      return err("The body has no `messages`");
    }
    if (!isChat && value.prompt === undefined) {
      return err("The body has no `prompt`");
    }
    return ok({
      model: value.model,
      isStream: value.stream === true,
      promptPrefix: extractPromptPrefix(value),
    });
  });
}

function parseJson(body: Buffer): Result<unknown, string> {
  try {
    return ok(JSON.parse(body.toString("utf8")));
  } catch {
    return err("The body is not valid JSON");
  }
}

function describeFirstIssue({ issues }: z.ZodError): string {
  const [issue] = issues;
  const path = issue?.path.join(".") ?? "";
  return path === ""
    ? "The body is not a JSON object"
    : `The field \`${path}\` is missing or of the wrong type`;
}

function extractPromptPrefix({ prompt, messages }: Body): string {
  const text =
    messages === undefined
      ? readText(prompt)
      : joinPrefixText(messages.map(({ content }) => readText(content)));
  return Buffer.from(text.slice(0, PROMPT_PREFIX_BYTES))
    .subarray(0, PROMPT_PREFIX_BYTES)
    .toString("latin1");
}

function joinPrefixText(parts: readonly string[]): string {
  return parts.reduce(
    (text, part) => (text.length < PROMPT_PREFIX_BYTES ? text + part : text),
    "",
  );
}

function readText(content: unknown): string {
  if (typeof content === "string") return content;
  return content === undefined || content === null
    ? ""
    : JSON.stringify(content);
}
