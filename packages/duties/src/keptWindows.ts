/** Windows for which counts are kept: a window that is not decided within 40 s at 5 s each is missed. */
const KEPT_WINDOWS = 8;

export default KEPT_WINDOWS;
