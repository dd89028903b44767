/** Names of the roles of a failure domain in the roles stream. */
const roleNames = {
  placer: (failureDomain: string): string => `placer/${failureDomain}`,
  budgetHome: (failureDomain: string): string => `home/${failureDomain}`,
};

export default roleNames;
