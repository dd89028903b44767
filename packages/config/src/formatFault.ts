import type Fault from './Fault';

/**
 * Formats a validation error as one line.
 *
 * @example
 * formatFault(fault); // 'routes.ini: [cup-guide] pool: is required'
 */
const formatFault = (fault: Fault): string => {
  const section = fault.section === '' ? '' : ` [${fault.section}]`;
  const key = fault.key === '' ? '' : ` ${fault.key}`;
  return `${fault.file}:${section}${key}: ${fault.reason}`;
};

export default formatFault;
