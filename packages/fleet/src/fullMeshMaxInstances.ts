/** Largest number of instances at which every instance sends heartbeats to every other. */
const FULL_MESH_MAX_INSTANCES = 16;

export default FULL_MESH_MAX_INSTANCES;
