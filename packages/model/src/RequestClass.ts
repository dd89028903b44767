/** Scheduling class of a route. */
enum RequestClass {
  Interactive = 'interactive',
  Deferrable = 'deferrable',
}

export default RequestClass;
