/** State that an entry keeps for each service, created when it is first used. */

export function createPerService<T>(create: () => T): (service: string) => T {
  const values = new Map<string, T>();
  return (service) => {
    const found = values.get(service);
    if (found !== undefined) return found;
    const created = create();
    values.set(service, created);
    return created;
  };
}
