/** Header values by name in lower case. */
type HeaderRecord = Readonly<Record<string, string | readonly string[] | undefined>>;

export default HeaderRecord;
