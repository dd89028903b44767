/** Error codes of connections that could not be opened, with which an established one can end too. */
const connectCodes = ['EHOSTUNREACH', 'ENETUNREACH', 'ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'];

export default connectCodes;
