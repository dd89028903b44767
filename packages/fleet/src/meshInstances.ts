/** Instances up to which every instance beats to every other. */
const MESH_INSTANCES = 16;

export default MESH_INSTANCES;
