/**
 * Stand-ins for what surrounds the system: the platform, upstreams and callers, with faults. For
 * tests and trial runs; not shipped.
 */
package org.parsleycart.standin;
