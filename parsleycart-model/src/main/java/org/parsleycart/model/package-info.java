/**
 * The resources of the service mesh as immutable values: services, routes, contracts, availability
 * zones, rollouts, withdrawals, and the configuration that contains them. Depends only on the
 * document package.
 */
package org.parsleycart.model;
