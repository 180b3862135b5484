/**
 * The HTTP conventions (dialects) that differ between the environments in which a daemon runs:
 * header names, paths and the format of heartbeats. Depends on the decision module.
 */
package org.parsleycart.link.dialect;
