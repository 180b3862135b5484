/**
 * Stand-ins for the platform, upstreams and callers around the system, with simulated faults. Used
 * by tests and trial runs; not part of a release.
 */
package org.parsleycart.standin;
