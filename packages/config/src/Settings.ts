import type { z } from 'zod';
import type settingsSchema from './settingsSchema';

/** Checked settings of one process; the keys carry their units. */
type Settings = z.infer<typeof settingsSchema>;

export default Settings;
