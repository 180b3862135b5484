/**
 * Decision logic without I/O: state machines and functions that read the time from a clock and
 * return the actions to take. Depends only on the model module.
 */
package org.parsleycart.decision;
