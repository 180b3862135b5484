/**
 * Decisions without input or output: state machines and functions that take the time from a clock
 * and return what to do. Depends only on the model.
 */
package org.parsleycart.decision;
