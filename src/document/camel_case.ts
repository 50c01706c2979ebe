/** Converts snake_case keys to camelCase at any depth. */

type CamelCaseWord<Word extends string> =
  Word extends `${infer Head}_${infer Tail}`
    ? `${Head}${Capitalize<CamelCaseWord<Tail>>}`
    : Word;

export type CamelCaseKeys<Value> = Value extends readonly (infer Item)[]
  ? readonly CamelCaseKeys<Item>[]
  : Value extends object
    ? {
        readonly [
          Key in keyof Value as Key extends string ? CamelCaseWord<Key> : Key
        ]: CamelCaseKeys<Value[Key]>;
      }
    : Value;

export function toCamelCaseKeys<Value>(value: Value): CamelCaseKeys<Value> {
  return convert(value) as CamelCaseKeys<Value>;
}

function convert(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(convert);
  if (value === null || typeof value !== "object") return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [
      key.replace(/_([a-z0-9])/g, (_match, letter: string) =>
        letter.toUpperCase(),
      ),
      convert(item),
    ]),
  );
}
