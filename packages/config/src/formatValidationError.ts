import type ValidationError from './ValidationError';

/**
 * Formats a validation error as one line.
 *
 * @example
 * formatValidationError(error); // 'routes.ini: [cup-guide] pool: is required'
 */
const formatValidationError = (fault: ValidationError): string => {
  const section = fault.section === '' ? '' : ` [${fault.section}]`;
  const key = fault.key === '' ? '' : ` ${fault.key}`;
  return `${fault.file}:${section}${key}: ${fault.reason}`;
};

export default formatValidationError;
