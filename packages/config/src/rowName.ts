import { z } from 'zod';

const MAX_NAME_CHARS = 63;

/** Schema of the names of rows, pools, workspaces, failure domains and targets. */
const rowName = z
  .string()
  .max(MAX_NAME_CHARS)
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'must be lower-case letters, digits and hyphens');

export default rowName;
