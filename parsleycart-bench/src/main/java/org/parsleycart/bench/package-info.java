/** Benchmarks and simulations of the daemon's decisions, with baselines; not part of a release. */
package org.parsleycart.bench;
