/** Formats the stand-in engine's answers as OpenAI API completions. */

export interface Completion {
  readonly requestId: string;
  readonly isChat: boolean;
  readonly text: string;
}

export function formatChunk(
  completion: Pick<Completion, "requestId" | "isChat">,
  text: string,
  finishReason: string | null,
): string {
  const choice = completion.isChat
    ? { index: 0, delta: { content: text }, finish_reason: finishReason }
    : { index: 0, text, finish_reason: finishReason };
  return `data: ${JSON.stringify({ id: completion.requestId, choices: [choice] })}\n\n`;
}

export function formatCompletion(completion: Completion) {
  const choice = completion.isChat
    ? { message: { role: "assistant", content: completion.text } }
    : { text: completion.text };
  return {
    id: completion.requestId,
    choices: [{ index: 0, ...choice, finish_reason: "stop" }],
  };
}
