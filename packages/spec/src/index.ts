/** Specifications of the core protocols and an exhaustive search through their states. */
export { default as claimsSpec } from './claimsSpec';
export { default as configSpec } from './configSpec';
export { default as explore } from './explore';
export { default as placerSpec } from './placerSpec';
export { default as specs } from './specs';
