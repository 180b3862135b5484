/**
 * The things of the mesh as immutable values: services, routes, contracts, availability zones,
 * rollouts, withdrawals and the configuration that holds them. Depends only on documents.
 */
package org.parsleycart.model;
