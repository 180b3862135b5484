/**
 * The durable storage of the mesh: the configuration store, the interfaces of the transactional
 * table and object store, and implementations in memory. Depends on the link module.
 */
package org.parsleycart.store;
