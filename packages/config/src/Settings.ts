import type { z } from 'zod';
import type settingsSchema from './settingsSchema';

/** The validated settings of a process. Keys carry their units as a suffix. */
type Settings = z.infer<typeof settingsSchema>;

export default Settings;
