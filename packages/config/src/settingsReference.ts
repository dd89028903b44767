import { z } from 'zod';
import settingsSchema from './settingsSchema';

interface JsonSchema {
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly default?: unknown;
  readonly description?: string;
}

const formatKeyRow = ([key, schema]: [string, JsonSchema]): string => {
  const defaultText = schema.default === undefined ? 'required' : `\`${String(schema.default)}\``;
  return `| \`${key}\` | ${defaultText} | ${schema.description ?? ''} |`;
};

const formatSection = ([section, schema]: [string, JsonSchema]): string =>
  [
    `## [${section}]`,
    '',
    '| key | default | meaning |',
    '| --- | --- | --- |',
    ...Object.entries(schema.properties ?? {}).map(formatKeyRow),
    '',
  ].join('\n');

/**
 * Returns the reference page of all settings in Markdown, generated from their schema.
 *
 * @example
 * writeFileSync('docs/settings.md', settingsReference());
 */
const settingsReference = (): string => {
  const schema = z.toJSONSchema(settingsSchema, { io: 'input' }) as JsonSchema;
  const sections = Object.entries(schema.properties ?? {}).map(formatSection);
  return [
    '# Settings',
    '',
    'Generated from the schema by `npm run docs:settings`. The suffix of a key is its unit.',
    '',
    ...sections,
  ].join('\n');
};

export default settingsReference;
