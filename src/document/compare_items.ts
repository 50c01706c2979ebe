/** Compares lists of named items. */

interface Named {
  readonly name: string;
}

export interface ItemChanges<Item> {
  readonly added: readonly Item[];
  readonly removed: readonly Item[];
  readonly kept: readonly (readonly [before: Item, after: Item])[];
}

export function compareItems<Item extends Named>(
  before: readonly Item[],
  after: readonly Item[],
): ItemChanges<Item> {
  const beforeByName = new Map(before.map((item) => [item.name, item]));
  const afterNames = new Set(after.map((item) => item.name));
  return {
    added: after.filter((item) => !beforeByName.has(item.name)),
    removed: before.filter((item) => !afterNames.has(item.name)),
    kept: after.flatMap((item) => {
      const previous = beforeByName.get(item.name);
      return previous === undefined ? [] : [[previous, item] as const];
    }),
  };
}

/** "key old -> new" for each of these fields that differs. */
export function describeFieldChanges<Item extends object>(
  [before, after]: readonly [Item, Item],
  fields: readonly (keyof Item & string)[],
): readonly string[] {
  return fields
    .filter((field) => before[field] !== after[field])
    .map(
      (field) =>
        `${toSnakeCase(field)} ${String(before[field])} -> ${String(after[field])}`,
    );
}

function toSnakeCase(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
